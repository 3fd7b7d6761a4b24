//go:build !hostonly

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// progress shows the progress of a long run as one line that is overwritten, after the first two
// seconds. It prints nothing if its output is not a terminal.
type progress struct {
	terminal   *os.File
	lastUpdate time.Time
	shown      bool
}

func newProgress(out *os.File) *progress {
	p := &progress{lastUpdate: time.Now().Add(2*time.Second - progressInterval)}
	if info, err := out.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		p.terminal = out
	}
	return p
}

const progressInterval = 200 * time.Millisecond

func (p *progress) update(format string, args ...any) {
	if p.terminal == nil || time.Since(p.lastUpdate) < progressInterval {
		return
	}
	p.lastUpdate, p.shown = time.Now(), true
	fmt.Fprintf(p.terminal, "\r\x1b[K"+format, args...)
}

func (p *progress) clear() {
	if p.shown {
		fmt.Fprint(p.terminal, "\r\x1b[K")
	}
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
