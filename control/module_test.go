package control

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleSize bounds the size of control.go, which is printed for the on-call staff.
func TestModuleSize(t *testing.T) {
	text, err := os.ReadFile("control.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > 110 {
			t.Errorf("control.go:%d: %d characters, at most 110", i+1, n)
		}
	}
	if lines > 1000 {
		t.Errorf("control.go has %d non-blank lines, at most 1000", lines)
	}
	if !strings.Contains(string(text)[:400], "api.go") {
		t.Error("the first 400 bytes of control.go do not name the interface file api.go")
	}
}
