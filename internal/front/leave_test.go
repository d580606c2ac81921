package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A client closes its connection before it has sent the whole body. The request reaches no
// endpoint, and the instance goes on serving.
func TestAClientThatDisconnectsWhileItsBodyIsRead(t *testing.T) {
	runCluster(t, 1, func(is *is.I, w *testCluster) {
		c, err := w.mem.Site("client").Dial(context.Background(), addrOf(hostOf("n0"), frontPort))
		is.NoErr(err)
		_, err = fmt.Fprintf(c, "POST /safe/a HTTP/1.1\r\nHost: %s\r\nId: half\r\nKey: k1\r\nDeadline: 2500\r\nContent-Length: 100\r\n\r\nsome of it", testHost)
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		is.NoErr(c.Close())
		time.Sleep(3 * time.Second)
		is.Equal(w.runsOf("half"), 0)
		is.Equal(w.ask("n0", "/safe/a", "k1", "whole"), 200)
	})
}
