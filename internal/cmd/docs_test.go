package cmd

import (
	"os"
	"path/filepath"
	"testing"
)

func TestGeneratedPagesAreCurrent(t *testing.T) {
	for name, want := range generatedDocs() {
		got, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
		if err != nil {
			t.Error(err)
			continue
		}
		if string(got) != want {
			t.Errorf("docs/%s is stale; run go run . docs", name)
		}
	}
}
