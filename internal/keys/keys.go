// Package keys makes and loads the certificates of entry instances.
//
// Files are read again when they change, so that a certificate is replaced
// without a restart. Peers show each other certificates of the deployment's
// own authority; callers only see the instance's. A Loader is safe for
// concurrent use.
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

// EntryName is the DNS name that certificates of entry instances carry. Peers
// are reached by address, so it is this name that a peer's certificate is
// checked for.
const EntryName = "entry.shelfcrank.internal"

const recheckEvery = time.Second

// Files names the files of an instance's certificates.
type Files struct {
	Authority string
	Cert      string
	Key       string
}

// material is what was read from the files. It is immutable.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Loader holds the newest certificates.
type Loader struct {
	files Files

	mu      sync.Mutex
	current *material // guarded by mu
	stamp   string    // modification times of what was read; guarded by mu
	checked time.Time // guarded by mu
	failed  error     // why the newest files could not be read; guarded by mu
}

// NewLoader reads the files.
func NewLoader(f Files) (*Loader, error) {
	l := &Loader{files: f}
	m, err := read(f)
	if err != nil {
		return nil, err
	}
	l.current, l.checked, l.stamp = m, time.Now(), stamp(f)
	return l, nil
}

func read(f Files) (*material, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: no certificate in %s", f.Authority)
	}
	return &material{&cert, pool}, nil
}

func stamp(f Files) string {
	s := ""
	for _, name := range []string{f.Authority, f.Cert, f.Key} {
		if info, err := os.Stat(name); err == nil {
			s += info.ModTime().String() + "|"
		}
	}
	return s
}

// get returns the newest material that could be read whole. While a file is
// being replaced and does not fit the others, the one before stays in use.
func (l *Loader) get() *material {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.checked) < recheckEvery {
		return l.current
	}
	l.checked = now
	s := stamp(l.files)
	if s == l.stamp {
		return l.current
	}
	m, err := read(l.files)
	l.failed = err
	if err == nil {
		l.current, l.stamp = m, s
	}
	return l.current
}

// Failed returns why the newest files could not be read, or nil.
func (l *Loader) Failed() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Callers returns the configuration towards callers and operators.
func (l *Loader) Callers() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.get().cert, nil
		},
	}
}

// Peers returns the configuration between entry instances, for both sides.
// Each side checks the other against the authority as it is at that moment,
// which the standard check cannot do with a pool that changes: that is why it
// is replaced by verify.
func (l *Loader) Peers() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		ServerName:         EntryName,
		VerifyConnection:   l.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return l.get().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.get().cert, nil
		},
	}
}

var errNoCertificate = errors.New("the peer shows no certificate")

func (l *Loader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errNoCertificate
	}
	chain := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		chain.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: EntryName, Roots: l.get().pool, Intermediates: chain,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return fmt.Errorf("peer's certificate: %w", err)
	}
	return nil
}
