package intake

import (
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// Maintain finds the clients that read nothing, and logs what was closed since the last call, in one line. It is called in
// intervals of a second or so.
func (i *Intake) Maintain(log func(event.Code, ...zap.Field)) {
	i.Connections.Sweep()
	now := i.Connections.Counts()
	if closed, refused := now.Closed-i.reported.Closed, now.Refused-i.reported.Refused; closed > 0 || refused > 0 {
		log(event.ConnectionsClosed, zap.Int64("closed", closed), zap.Int64("refused", refused), zap.Int("open", now.Open),
			zap.Int("limit", i.Connections.limits.Open), zap.Int64("bytes", now.Bytes), zap.Int64("bytes_limit", i.Connections.limits.Bytes),
			zap.Int64("bodies", i.Bodies.Used()), zap.Int64("bodies_limit", i.Bodies.limit))
	}
	i.reported = now
}
