package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/intake"
)

const goodFront = `name = "n1"
hall = "z"
front_address = "127.0.0.1:8000"
ready_address = "127.0.0.1:8001"
peer_address = "127.0.0.1:8002"
metrics_address = "127.0.0.1:8003"
store_address = "127.0.0.1:9000"
cloud_address = ""
memory_mb = 284

[bounds]
revoke_ms = 5000
strict_revoke = true
config_ms = 2000
outer_ms = 5000
drain_ms = 2000
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10.0
lease_ms = 3000
usage_window_s = 5
`

func loadFront(t *testing.T, text string) (Front, map[string]int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadFront(file)
	lines := make(map[string]int)
	var f *FaultsError
	if errors.As(err, &f) {
		for _, fault := range f.Faults {
			lines[fault.Key] = fault.Line
		}
	}
	return s, lines
}

func TestFrontSettings(t *testing.T) {
	is := is.New(t)
	s, faults := loadFront(t, goodFront)
	is.Equal(len(faults), 0)
	is.Equal(s.Bounds.Grace().Seconds(), 8.0) // given without a decimal point
	is.True(!s.Cloud.IsValid())               // an empty address is not set
}

// Bounds may be fractions, since a deployment divides its totals by its size.
func TestBoundsMayBeFractions(t *testing.T) {
	is := is.New(t)
	s, faults := loadFront(t, strings.NewReplacer("5000", "5000.5", "2000", "2000.25", "3000", "3000.0").Replace(goodFront)+
		"retry_slack = 37.45454545454545\nquota_slack = 140000.5\n")
	is.Equal(len(faults), 0)
	is.Equal(s.Bounds.RetrySlack, 37.45454545454545)
	is.Equal(s.Bounds.QuotaSlack, 140000.5)
	is.Equal(s.Bounds.Drain(), 2000250*time.Microsecond)
}

func TestFrontFaultsHaveLineAndKey(t *testing.T) {
	is := is.New(t)
	_, lines := loadFront(t, `name = ""
hall = "z"
front_address = "127.0.0.1:8000"
ready_address = "127.0.0.1:8000"
peer_address = "nowhere"
memory_mb = "much"
[bounds]
revoke_ms = -1
grace_s = "x"
`)
	is.Equal(lines["name"], 1)
	is.Equal(lines["ready_address"], 4)
	is.Equal(lines["peer_address"], 5)
	is.Equal(lines["memory_mb"], 6)
	is.Equal(lines["bounds.revoke_ms"], 8)
	is.Equal(lines["bounds.grace_s"], 9)
	_, missing := lines["store_address"]
	is.True(missing)
}

// Fair shares and reservations are parts of the admission decision: without it they would silently
// have no effect.
func TestOverloadPartsRequireAdmission(t *testing.T) {
	is := is.New(t)
	_, faults := loadFront(t, goodFront+"\n[overload]\nfair_shares = true\n")
	is.Equal(len(faults), 1)
	_, faults = loadFront(t, goodFront+"\n[overload]\nreservations = true\nadmission = true\n")
	is.Equal(len(faults), 0)
}

// Guards against bounds that clients inside the limits of the deployments meet in calm, at the smallest and the largest of
// their instances, and against bounds where none were set.
func TestClientsGetEnoughOfEachInstance(t *testing.T) {
	is := is.New(t)
	const maxBody = 4 << 20
	for _, s := range []Front{{MemoryMB: 144, MaxDescriptors: 3075}, {MemoryMB: 284, MaxDescriptors: 4100}, {MemoryMB: 536, MaxDescriptors: 10250}} {
		l := s.Intake()
		is.True(l.BodyBytes >= 4*maxBody)
		is.True(l.Connections >= 1000 && 2*l.Connections < s.MaxDescriptors)
		is.True(l.ConnectionBytes >= 500*(intake.UnreadBytes+(24<<10)))
		is.True(l.BodyBytes+l.ConnectionBytes <= int64(s.MemoryMB)<<20*6/10)
	}
	var none Front
	is.Equal(none.Intake(), intake.Limits{})
}
