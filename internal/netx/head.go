package netx

import (
	"fmt"
	"net/http"
	"strings"
)

// MalformedHeadError reports a response whose head is none of the protocol, so that its status, its header and where its
// body ends are not known. net/http returns such responses without an error.
type MalformedHeadError struct{ Reason string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "malformed response head: " + e.Reason }

// CheckHead returns a *MalformedHeadError if the status of a response that was read with net/http is in no class (RFC 9110,
// section 15), or the name of a field is no token (section 5.1).
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return &MalformedHeadError{fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	for name := range resp.Header {
		if !isToken(name) {
			return &MalformedHeadError{fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// isToken reports whether a string is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for _, c := range []byte(s) {
		letterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
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
