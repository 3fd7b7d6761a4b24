package telemetry

import (
	"fmt"
	"log/slog"
)

// GnetLogger implements gnet's logging.Logger. It passes the event loops' log lines to a structured logger;
// gnet's own logger would write them to standard output.
type GnetLogger struct{ Log *slog.Logger }

// Debugf logs at level debug.
func (g GnetLogger) Debugf(format string, args ...any) {
	g.Log.Debug(fmt.Sprintf(format, args...), "from", "gnet")
}

// Infof logs at level debug.
func (g GnetLogger) Infof(format string, args ...any) {
	g.Log.Debug(fmt.Sprintf(format, args...), "from", "gnet")
}

// Warnf logs at level warn.
func (g GnetLogger) Warnf(format string, args ...any) {
	g.Log.Warn(fmt.Sprintf(format, args...), "from", "gnet")
}

// Errorf logs at level error.
func (g GnetLogger) Errorf(format string, args ...any) {
	g.Log.Error(fmt.Sprintf(format, args...), "from", "gnet")
}

// Fatalf logs at level error and does not exit.
func (g GnetLogger) Fatalf(format string, args ...any) {
	g.Log.Error(fmt.Sprintf(format, args...), "from", "gnet")
}
