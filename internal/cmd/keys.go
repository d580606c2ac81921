package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/keys"
)

const (
	defaultCertDays = 30
	keyDirMode      = 0o700
)

func newKeys(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank keys", e)
	dir := fs.String("dir", "keys", "directory for the certificate and key files")
	days := fs.Int("days", defaultCertDays, "validity of the certificates in days")
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "shelfcrank keys [-dir DIR] [-days N] NAME IP...",
		ShortHelp:  "Create a development certificate authority, unless there is one, and a certificate for an entry instance.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usagef("keys takes the instance's name and its addresses")
			}
			var addrs []netip.Addr
			for _, a := range args[1:] {
				addr, err := netip.ParseAddr(a)
				if err != nil {
					return usageError{err}
				}
				addrs = append(addrs, addr)
			}
			until := time.Now().AddDate(0, 0, *days)
			if err := os.MkdirAll(*dir, keyDirMode); err != nil {
				return err
			}
			if err := keys.MakeAuthority(*dir, until); err != nil {
				return err
			}
			if err := keys.MakeEntryCertificate(*dir, args[0], addrs, until); err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%s/%s.pem and %s/%s-key.pem, signed by %s/%s\n", *dir, args[0], *dir, args[0], *dir, keys.AuthorityCert)
			return nil
		},
	}
}
