// Package telemetry sets up structured logging for the gateway's commands and its event loops.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/lmittmann/tint"
)

// NewLogger returns a logger that writes to w, as coloured text if w is a terminal, else as JSON lines. The returned
// variable changes the level at run time.
func NewLogger(w io.Writer, level string) (*slog.Logger, *slog.LevelVar, error) {
	levelVar := &slog.LevelVar{}
	if err := levelVar.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	if f, ok := w.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			return slog.New(tint.NewTextHandler(w, &tint.Options{Level: levelVar, TimeFormat: time.TimeOnly})), levelVar, nil
		}
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levelVar, ReplaceAttr: formatDuration})), levelVar, nil
}

// formatDuration writes a duration as text such as 1.5s. slog's JSON handler would write a number of nanoseconds.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}
