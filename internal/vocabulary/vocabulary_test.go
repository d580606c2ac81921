package vocabulary

import (
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/go/analysis/analysistest"
)

func TestRejectedWordsAreReported(t *testing.T) {
	analysistest.Run(t, analysistest.TestData(), Analyzer, "names")
}

func TestInt64RevisionsAreReported(t *testing.T) {
	analysistest.Run(t, analysistest.TestData(), Revisions, "numbers")
}

func TestWords(t *testing.T) {
	is := is.New(t)
	for name, want := range map[string][]string{
		"heardAt": {"heard", "at"}, "HTTPServer": {"http", "server"}, "serveID": {"serve", "id"}, "a_told": {"a", "told"}, "x": {"x"}, "": nil,
	} {
		is.Equal(words(name), want)
	}
}

func TestParseAllowed(t *testing.T) {
	is := is.New(t)
	allowed, err := parseAllowed("# comment\ninternal/a told 2\n")
	is.NoErr(err)
	is.Equal(allowed, map[packageWord]int{{"internal/a", "told"}: 2})
	_, err = parseAllowed("internal/a told\n")
	is.True(err != nil)
	_, err = parseAllowed("internal/a told two\n")
	is.True(err != nil)
	_, err = parseAllowed(allowText)
	is.NoErr(err)
}
