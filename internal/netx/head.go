package netx

import (
	"fmt"
	"net/http"
)

// MalformedHeadError reports a response whose head is none of the protocol, so that its status, its header and where its
// body ends are not known. net/http returns such responses without an error.
type MalformedHeadError struct{ Reason string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "malformed response head: " + e.Reason }

// CheckHead returns a *MalformedHeadError if the status of a response that was read with net/http is in no class (RFC 9110,
// section 15).
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return &MalformedHeadError{fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	return nil
}

// HTTPTransport is an HTTP transport that returns responses with a sound head only; see CheckHead.
type HTTPTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *HTTPTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// Clone returns a copy that shares no connections.
func (t *HTTPTransport) Clone() *HTTPTransport { return &HTTPTransport{t.Transport.Clone()} }
