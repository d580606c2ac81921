// Package keys creates and loads the TLS certificates of entry instances.
//
// A Loader reloads the files when they change, so that a certificate can be
// replaced without a restart. Entry instances authenticate each other by
// certificates that the deployment's own certificate authority signed; clients
// are not asked for a certificate. A Loader is safe for concurrent use.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// EntryDNSName is the DNS name in the certificates of all entry instances.
// Peers are dialled by address, so a peer's certificate is verified for this
// name.
const EntryDNSName = "entry.shelfcrank.internal"

const recheckInterval = time.Second

// Files holds the paths of an instance's PEM files.
type Files struct {
	Authority string // certificate of the authority that signs peers' certificates
	Cert      string // the instance's certificate
	Key       string // private key of Cert
}

// credentials is the parsed content of Files. It is immutable.
type credentials struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Loader holds the certificates that were last loaded from the files.
type Loader struct {
	files Files

	mu        sync.Mutex
	current   *credentials // guarded by mu
	modTimes  string       // modification times of the files that current was read from; guarded by mu
	checkedAt time.Time    // guarded by mu
	reloadErr error        // of the last attempt to reload; guarded by mu
}

// NewLoader loads the files.
func NewLoader(f Files) (*Loader, error) {
	l := &Loader{files: f}
	m, err := loadFiles(f)
	if err != nil {
		return nil, err
	}
	l.current, l.checkedAt, l.modTimes = m, time.Now(), modTimes(f)
	return l, nil
}

func loadFiles(f Files) (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: no certificate in %s", f.Authority)
	}
	return &credentials{&cert, pool}, nil
}

// modTimes returns the modification times of the files that exist.
func modTimes(f Files) string {
	s := ""
	for _, name := range []string{f.Authority, f.Cert, f.Key} {
		if info, err := os.Stat(name); err == nil {
			s += info.ModTime().String() + "|"
		}
	}
	return s
}

// latest returns the current credentials, after reloading the files if they
// have changed; it looks for changes once per recheckInterval. If a reload
// fails, for instance because only one of certificate and key has been replaced
// so far, the previous credentials stay in use.
func (l *Loader) latest() *credentials {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.checkedAt) < recheckInterval {
		return l.current
	}
	l.checkedAt = now
	s := modTimes(l.files)
	if s == l.modTimes {
		return l.current
	}
	m, err := loadFiles(l.files)
	l.reloadErr = err
	if err == nil {
		l.current, l.modTimes = m, s
	}
	return l.current
}

// ReloadError returns the error of the last reload, or nil if it succeeded.
func (l *Loader) ReloadError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reloadErr
}

// PublicConfig returns the TLS configuration of the listener for clients and
// operators.
func (l *Loader) PublicConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.latest().cert, nil
		},
	}
}

// PeerConfig returns the TLS configuration for connections between entry
// instances, for both sides. The certificate pool of a tls.Config is fixed, so
// verify replaces the standard verification: it checks the peer against the
// authority that is loaded at the time of the handshake.
func (l *Loader) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		ServerName:         EntryDNSName,
		VerifyConnection:   l.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.latest().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.latest().cert, nil
		},
	}
}

var errNoCertificate = errors.New("peer sent no certificate")

// verify checks that the peer's certificate is signed by the authority and has
// the name EntryDNSName.
func (l *Loader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errNoCertificate
	}
	chain := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		chain.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: EntryDNSName, Roots: l.latest().pool, Intermediates: chain,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}
