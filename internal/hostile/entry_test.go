package hostile

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	entryCrowd = 200
	entryGrows = 32 // MiB that a crowd without keys may add to an entry instance
)

// startEntry starts an entry instance (settings.Entry) whose platform does not answer, which is enough for clients without a key.
func startEntry(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, limits: limits{descriptors: 4096}, addr: loopback(), exited: make(chan struct{})}
	s := struct {
		Name      string `toml:"name"`
		Hall      string `toml:"hall"`
		Region    string `toml:"region"`
		Caller    string `toml:"caller_address"`
		Peer      string `toml:"peer_address"`
		Store     string `toml:"store_address"`
		List      string `toml:"list_address"`
		PlainText bool   `toml:"plain_text"`
	}{
		"entry-00", "a", "r", fmt.Sprintf("%s:%d", w.addr, frontPort), fmt.Sprintf("%s:%d", w.addr, peerPort),
		w.serve(http.NotFoundHandler()).String(), w.serve(http.NotFoundHandler()).String(), true,
	}
	text, err := toml.Marshal(s)
	w.must(err)
	w.startWith(text)
	w.await("the instance to run", w.healthy)
	memory, _ := w.usage()
	w.limits.memoryMB = int(memory>>20) + entryGrows
	return w
}

// healthy reports whether an entry instance answers its health check.
func (w *world) healthy() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/healthz", w.addr, frontPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against bodies of clients without a key that an entry instance reads and decodes before it looks at the key.
func TestBodiesWithoutAKeyEndAnEntryInstance(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/api/call", "/operator/edits"} {
		t.Run(path, func(t *testing.T) {
			w := startEntry(t)
			body := announcedTo(path, unknownKey, maxBodyBytes, maxBodyBytes-1)
			w.send(entryCrowd, body, reading)
			w.await("an answer to the health check", w.healthy)
			w.checkBounds()
		})
	}
}
