package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/payload"
)

const (
	defaultMaxBody = 4 << 20   // limit of a body, in bytes, if the configuration has none
	firstPiece     = 4 << 10   // of a body of unknown length, in bytes
	maxPiece       = 64 << 10  // bytes
	minSpare       = 256 << 10 // size in bytes from which bodies are given up before others are refused
)

// readRequest reads the whole body before anything is sent to an endpoint: a client that disconnects
// halfway then causes no work, and the body can be sent again on a retry.
func (h *Handler) readRequest(ctx context.Context, q *request, r *http.Request) *denial {
	q.received = r.Header
	q.header = r.Header.Clone()
	h.Protocol.Clean(q.header)
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := q.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return tooLarge()
	}
	_ = q.client.SetReadDeadline(h.Clock.ToMonotonic(q.deadline))
	h.Bodies.Open(&q.memory, q, h.Clock.Now())
	err := h.readBody(ctx, q, r, limit)
	if err == nil {
		err = q.memory.Complete()
	}
	if err != nil {
		return h.unreadBody(q, err)
	}
	_ = q.client.SetReadDeadline(time.Time{})
	return nil
}

// unreadBody is the denial for a request whose body was not read to its end. It gives the memory of the body back.
func (h *Handler) unreadBody(q *request, err error) *denial {
	gaveWay := q.memory.GaveWay()
	q.memory.Release()
	q.body = payload.Payload{}
	wait := q.waitForRoom()
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return tooLarge()
	case gaveWay:
		return &denial{status: http.StatusServiceUnavailable, why: "the body came too slowly while memory was short", wait: wait, close: true}
	case errors.Is(err, intake.ErrFull):
		return &denial{status: http.StatusServiceUnavailable, why: "no memory for the body", wait: wait, close: true, fields: []zap.Field{zap.Int64("held", h.Bodies.Used())}}
	case errors.Is(err, errDeadline), errors.As(err, &timeout) && timeout.Timeout():
		return &denial{status: http.StatusRequestTimeout, why: "timed out reading the request body", close: true}
	}
	return &denial{clientGone: true, why: "client disconnected before its body was read"}
}

// overShare is the denial for a request of a client account that keeps its share of the connections busy.
func (q *request) overShare() *denial {
	return &denial{
		status: http.StatusServiceUnavailable, why: "too many requests of the client account in progress", wait: q.waitForRoom(), close: true,
	}
}

// waitForRoom returns when a client may come again that was refused for lack of room: at once where another instance may
// have some.
func (q *request) waitForRoom() time.Duration {
	if q.view.Instances > 1 {
		return waitElsewhere
	}
	return waitRetry
}

var errBodyTooLarge = errors.New("the body is over the limit")

// readBody reads the body in pieces, each of which is taken from the budget before it is filled. What is held
// follows what has arrived, not what was announced.
func (h *Handler) readBody(ctx context.Context, q *request, r *http.Request, limit int64) error {
	left := limit + 1 // one more byte shows that the body is too large
	size := int64(firstPiece)
	if r.ContentLength > 0 {
		left = r.ContentLength
		size = maxPiece
	}
	q.incoming = incoming{r.Body, &q.memory, h.Clock}
	for {
		size = min(size, left)
		if err := q.memory.Grow(ctx, size, h.Clock.Now()); err != nil {
			return err
		}
		piece := make([]byte, size)
		n, err := fill(&q.incoming, piece)
		q.body.Append(piece[:n])
		left -= int64(n)
		if int64(q.body.Len()) > limit {
			return errBodyTooLarge
		}
		if err == io.EOF && r.ContentLength > 0 && left > 0 {
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF || left == 0 {
			return nil
		}
		if err != nil {
			return err
		}
		size = maxPiece
	}
}

// incoming is the body of a client's request. It records what arrives in the lease of the request.
type incoming struct {
	body   io.Reader
	memory *intake.Lease
	clock  *clock.Clock
}

// Read implements io.Reader.
func (b *incoming) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.memory.Received(n, b.clock.Now())
	return n, err
}

// fill reads until a piece is full. The error is that of the last read.
func fill(r io.Reader, piece []byte) (int, error) {
	filled := 0
	for filled < len(piece) {
		n, err := r.Read(piece[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// spareBody makes the memory of a long body available to others once its stream has begun: it is only needed if the
// stream breaks off, and not even then where it can't be resumed.
func (q *request) spareBody() {
	if q.body.Len() < minSpare {
		return
	}
	q.fingerprint() // for the quarantine, if the endpoint ends
	if q.route.Idempotent() {
		q.memory.Spare(&q.body)
		return
	}
	q.body = payload.Payload{}
	q.memory.Release()
}

// GiveWay implements intake.Reader: reading the body ends at once.
func (q *request) GiveWay() {
	_ = q.client.SetReadDeadline(time.Unix(1, 0))
}
