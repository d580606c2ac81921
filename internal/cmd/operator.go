package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/gateway"
)

// operatorFlags holds the flags shared by commands that call the operator API of
// an entry instance.
type operatorFlags struct {
	addr      *string
	key       *string
	authority *string
	json      *bool
}

func addOperatorFlags(fs *flag.FlagSet) operatorFlags {
	return operatorFlags{
		addr:      fs.String("addr", "127.0.0.1:8080", "address of an entry instance"),
		key:       fs.String("key", "", "operator's API key; set "+envPrefix+"_KEY instead to keep it off the command line"),
		authority: fs.String("authority", "", "certificate file of the authority (PEM); if set, TLS is used"),
		json:      fs.Bool("json", false, "print JSON"),
	}
}

// client returns an HTTP client and the URL scheme to use with it: https if an
// authority was given, http otherwise.
func (f operatorFlags) client() (*http.Client, string, error) {
	if *f.authority == "" {
		return http.DefaultClient, "http", nil
	}
	pem, err := os.ReadFile(*f.authority)
	if err != nil {
		return nil, "", usageError{err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", usagef("-authority: no certificate in %s", *f.authority)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}, "https", nil
}

const operatorTimeout = 15 * time.Second

// call sends a request to the operator API, with in as its JSON body unless in
// is nil, and decodes the JSON response into out.
func (f operatorFlags) call(ctx context.Context, method, path string, in, out any) error {
	addr, err := netip.ParseAddrPort(*f.addr)
	if err != nil {
		return usagef("-addr: %w", err)
	}
	if *f.key == "" {
		return usagef("-key is missing; set %s_KEY", envPrefix)
	}
	client, scheme, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+addr.String()+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+*f.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var p gateway.Problem
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			return fmt.Errorf("%s", resp.Status)
		}
		return fmt.Errorf("%s (%s)", p.Detail, p.Run)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
