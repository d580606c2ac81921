package hostile

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against limits of the first configuration that stay in force until the next start of the process.
func TestLimitsOfALaterConfigurationAreNotInForce(t *testing.T) {
	w := newWorld(t, smallInstance)
	large := http.Header{"X-Filler": {strings.Repeat("x", 2*maxHeaderBytes)}}
	w.await("an answer to an ordinary request", w.call)
	if w.callWith(large) {
		t.Error("a header over the limit was accepted")
	}
	c := operatorConfig()
	c.Version++
	c.Limits.HeaderBytes = 4 * maxHeaderBytes
	w.configure(c)
	w.await("an answer to a request within the new limit", func() bool { return w.callWith(large) })
	c.Version++
	c.Limits.HeaderBytes = maxHeaderBytes
	w.configure(c)
	w.await("a refusal of a request over the new limit", func() bool { return !w.callWith(large) })
	w.check()
}
