package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func load(t *testing.T, text string) (Entry, []Fault) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadEntry(file)
	var f *FaultsError
	if errors.As(err, &f) {
		return s, f.Faults
	}
	return s, nil
}

const good = `name = "entry-00"
hall = "thu-duc"
region = "south"
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8081"
store_address = "127.0.0.1:9000"
list_address = "127.0.0.1:9001"
plain_text = true
`

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	s, faults := load(t, good)
	is.Equal(len(faults), 0)
	is.Equal(s.Peer.Port(), uint16(8081))
}

func TestEveryFaultIsReportedWithItsLine(t *testing.T) {
	is := is.New(t)
	_, faults := load(t, `name = 7
hall = "thu-duc"
caller_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8080"
store_address = "nonsense"
colour = "red"
[tls]
key_file = "/nowhere/key.pem"
`)
	lines := make(map[string]int)
	for _, f := range faults {
		lines[f.Key] = f.Line
	}
	is.Equal(lines["name"], 1)
	is.Equal(lines["peer_address"], 4)
	is.Equal(lines["store_address"], 5)
	is.Equal(lines["colour"], 6)
	is.Equal(lines["tls.key_file"], 8)
	_, missing := lines["list_address"]
	is.True(missing)
	_, missing = lines["tls.certificate_file"]
	is.True(missing)
}

func TestBrokenTOMLNamesTheLine(t *testing.T) {
	is := is.New(t)
	_, faults := load(t, "name = \"a\"\nhall = \n")
	is.Equal(len(faults) > 0, true)
	is.Equal(faults[0].Line, 2)
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := LoadEntry("/nowhere/s.toml")
	is.True(err != nil)
}
