package telemetry

import (
	"fmt"
	"log/slog"
)

// Gnet hands the event loops' log lines to a structured logger, so that none goes to
// standard output.
type Gnet struct{ Log *slog.Logger }

// The methods of gnet's logger.
func (g Gnet) Debugf(format string, args ...any) {
	g.Log.Debug(fmt.Sprintf(format, args...), "from", "gnet")
}
func (g Gnet) Infof(format string, args ...any) {
	g.Log.Debug(fmt.Sprintf(format, args...), "from", "gnet")
}
func (g Gnet) Warnf(format string, args ...any) {
	g.Log.Warn(fmt.Sprintf(format, args...), "from", "gnet")
}
func (g Gnet) Errorf(format string, args ...any) {
	g.Log.Error(fmt.Sprintf(format, args...), "from", "gnet")
}
func (g Gnet) Fatalf(format string, args ...any) {
	g.Log.Error(fmt.Sprintf(format, args...), "from", "gnet")
}
