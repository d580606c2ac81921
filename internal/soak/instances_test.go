package soak

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/settings"
)

// Guards against settings that an earlier version of the program rejects.
func TestSettingsWithoutAValueAreLeftOut(t *testing.T) {
	is := is.New(t)
	s := settings.Front{Name: "n", Front: netip.MustParseAddrPort("127.0.0.1:1"), Overload: settings.Overload{Admission: true}}
	text, err := encodeSettings(s)
	is.NoErr(err)
	var names map[string]any
	is.NoErr(toml.Unmarshal(text, &names))
	is.Equal(len(names), 3)
	var back settings.Front
	is.NoErr(toml.Unmarshal(text, &back))
	is.Equal(back.Front, s.Front)
	is.Equal(back.Overload, s.Overload)
}
