package keys

import (
	"crypto/tls"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func makeFiles(t *testing.T, dir, name string) Files {
	t.Helper()
	until := time.Now().Add(time.Hour)
	if err := MakeAuthority(dir, until); err != nil {
		t.Fatal(err)
	}
	if err := MakeEntryCertificate(dir, name, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, until); err != nil {
		t.Fatal(err)
	}
	return Files{filepath.Join(dir, AuthorityCert), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")}
}

func load(t *testing.T, f Files) *Loader {
	t.Helper()
	l, err := NewLoader(f)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// handshake runs a TLS handshake over a pipe. It returns the serial number of
// the certificate that the client received and the errors of both sides.
func handshake(client, server *tls.Config) (serial string, clientErr, serverErr error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	srv := tls.Server(b, server)
	go func() {
		err := srv.Handshake()
		if err == nil {
			_, err = srv.Write([]byte("x"))
		}
		done <- err
		_ = b.Close()
	}()
	c := tls.Client(a, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.String()
		_, clientErr = c.Read(make([]byte, 1))
	} else {
		_ = a.Close()
	}
	return serial, clientErr, <-done
}

func TestPeersTrustOnlyTheirAuthority(t *testing.T) {
	is := is.New(t)
	ours, theirs := t.TempDir(), t.TempDir()
	a, b := load(t, makeFiles(t, ours, "a")), load(t, makeFiles(t, ours, "b"))
	foreign := load(t, makeFiles(t, theirs, "a"))
	_, clientErr, serverErr := handshake(a.PeerConfig(), b.PeerConfig())
	is.NoErr(clientErr)
	is.NoErr(serverErr)
	_, _, serverErr = handshake(foreign.PeerConfig(), b.PeerConfig())
	is.True(serverErr != nil) // a client with a certificate of another authority is rejected
	_, clientErr, _ = handshake(a.PeerConfig(), foreign.PeerConfig())
	is.True(clientErr != nil) // so is the accepting side with one
	_, _, serverErr = handshake(&tls.Config{InsecureSkipVerify: true}, b.PeerConfig())
	is.True(serverErr != nil) // a client without a certificate is rejected
}

func TestCertificatesAreReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, b := load(t, makeFiles(t, dir, "a")), load(t, makeFiles(t, dir, "b"))
	before, _, _ := handshake(a.PeerConfig(), b.PeerConfig())
	time.Sleep(10 * time.Millisecond) // so that the modification time differs
	makeFiles(t, dir, "b")
	b.checkedAt = time.Time{} // make the next call check the files
	after, _, _ := handshake(a.PeerConfig(), b.PeerConfig())
	is.True(before != after)
	is.NoErr(b.ReloadError())
}
