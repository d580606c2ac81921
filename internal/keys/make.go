package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that MakeAuthority creates.
const (
	AuthorityCert = "authority.pem"
	AuthorityKey  = "authority-key.pem"
)

const (
	serialBits      = 120
	backdating      = time.Hour // age of a new certificate, so that it is valid for peers whose clocks are behind
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// MakeAuthority creates a certificate authority for development in dir, valid
// until the given time. It does nothing if dir has an authority's key already.
func MakeAuthority(dir string, until time.Time) error {
	if _, err := os.Stat(filepath.Join(dir, AuthorityKey)); err == nil {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("authority key: %w", err)
	}
	t, err := certificateTemplate("shelfcrank development authority", until)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return fmt.Errorf("authority certificate: %w", err)
	}
	return writePair(dir, AuthorityCert, AuthorityKey, der, key)
}

// MakeEntryCertificate creates a key and a certificate for an entry instance in
// dir: NAME-key.pem and NAME.pem. The authority in the same directory signs it.
func MakeEntryCertificate(dir, name string, addrs []netip.Addr, until time.Time) error {
	caCert, caKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("key of %s: %w", name, err)
	}
	t, err := certificateTemplate(name, until)
	if err != nil {
		return err
	}
	t.DNSNames = []string{EntryDNSName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, a := range addrs {
		t.IPAddresses = append(t.IPAddresses, net.IP(a.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, t, caCert, key.Public(), caKey)
	if err != nil {
		return fmt.Errorf("certificate of %s: %w", name, err)
	}
	return writePair(dir, name+".pem", name+"-key.pem", der, key)
}

// certificateTemplate returns a certificate with the fields that all
// certificates share.
func certificateTemplate(name string, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-backdating), NotAfter: until,
	}, nil
}

// loadAuthority reads the certificate and the private key of the authority in
// dir.
func loadAuthority(dir string) (*x509.Certificate, any, error) {
	certBlock, err := readPEM(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(certBlock)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	keyBlock, err := readPEM(filepath.Join(dir, AuthorityKey))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock)
	if err != nil {
		return nil, nil, fmt.Errorf("authority key: %w", err)
	}
	return cert, key, nil
}

func readPEM(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, fmt.Errorf("authority: no PEM block in %s", file)
	}
	return block.Bytes, nil
}

// writePair writes a certificate and its key. Each file is replaced by a
// rename, so that a reader never sees a partly written one.
func writePair(dir, certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(filepath.Join(dir, keyName), "PRIVATE KEY", pkcs8, privateFileMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certName), "CERTIFICATE", der, publicFileMode)
}

func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	tmp := file + ".new"
	if err := os.WriteFile(tmp, b, mode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	if err := os.Rename(tmp, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
