package cmd

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that a change of its settings file, signaled while it reads that file, ends. The file is a pipe,
// so that reading it takes until the test has sent the signal.
func TestSIGHUPWhileTheSettingsAreReadEndsNoProcess(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	program, file := filepath.Join(dir, "shelfcrank"), filepath.Join(dir, "settings.toml")
	out, err := exec.Command("go", "build", "-o", program, "github.com/shelfcrank/shelfcrank").CombinedOutput()
	if err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	is.NoErr(syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(program, "serve", "-settings", file)
	var log strings.Builder
	cmd.Stderr = &log
	is.NoErr(cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process reads the file
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	ended := make(chan struct{})
	go func() {
		for { // it reads the file more than once
			_, _ = pipe.WriteString("name = 1\n") // not valid: the process says so and exits
			_ = pipe.Close()
			for {
				select {
				case <-ended:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if pipe, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
					break // it reads
				}
			}
		}
	}()
	is.True(cmd.Wait() != nil)
	close(ended)
	is.Equal(cmd.ProcessState.ExitCode(), exitUsage) // -1 after a signal
}
