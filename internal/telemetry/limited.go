package telemetry

import (
	"log/slog"
	"time"
)

// limitedInterval is the least time between two lines of a kind.
const limitedInterval = time.Second

// Limited logs events that may come at any rate: of each kind at most one line a second, with the number of events since
// the line before. It is not safe for concurrent use.
type Limited struct {
	log   *slog.Logger
	kinds map[string]*limitedKind
}

type limitedKind struct {
	loggedAt   time.Time
	suppressed int
}

// NewLimited returns a Limited that writes to log.
func NewLimited(log *slog.Logger) *Limited {
	return &Limited{log: log, kinds: map[string]*limitedKind{}}
}

// Info logs an event. The text names its kind: it is a constant, as each kind is remembered.
func (l *Limited) Info(text string, args ...any) {
	k := l.kinds[text]
	if k == nil {
		k = &limitedKind{}
		l.kinds[text] = k
	}
	now := time.Now()
	if !k.loggedAt.IsZero() && now.Sub(k.loggedAt) < limitedInterval {
		k.suppressed++
		return
	}
	l.log.Info(text, append(args, "more_since", k.suppressed)...)
	k.loggedAt, k.suppressed = now, 0
}
