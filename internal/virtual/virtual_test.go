package virtual_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// TestTimersDueTogether receives from many due timers at the same time. In a race
// build this crashes the process if the bubble runs on several processors.
func TestTimersDueTogether(t *testing.T) {
	const (
		goroutines = 32
		rounds     = 500
	)
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		var missing sync.Map
		var wg sync.WaitGroup
		for i := range goroutines {
			wg.Go(func() {
				for range rounds {
					timer := time.NewTimer(time.Millisecond)
					time.AfterFunc(2*time.Millisecond, func() {})
					time.Sleep(2 * time.Millisecond)
					select {
					case <-timer.C:
					default:
						missing.Store(i, true)
					}
				}
			})
		}
		wg.Wait()
		missing.Range(func(i, _ any) bool {
			is.Fail() // a timer was due and had not fired
			return false
		})
	})
}

// TestNoDirectSynctest fails if a test calls synctest.Test directly instead of virtual.Test.
func TestNoDirectSynctest(t *testing.T) {
	is := is.New(t)
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || filepath.Dir(path) == "../../internal/virtual" {
			return err
		}
		text, err := os.ReadFile(path)
		if bytes.Contains(text, []byte("synctest.Test(")) {
			t.Errorf("%s starts a bubble: use virtual.Test", path)
		}
		return err
	})
	is.NoErr(err)
}
