package rsync

import (
	"fmt"
	"strings"
)

// rule is an exclude or include rule of a pull, as described in rsync(1) under "FILTER RULES".
type rule struct {
	include  bool
	dirOnly  bool
	anchored bool // matches only at the root of the transfer
	fullPath bool // the pattern is matched against the whole path, not the last name
	negate   bool
	pattern  string
}

// filter decides which entries a pull excludes. The first matching rule decides.
type filter struct{ rules []rule }

// add parses a rule as clients send it and appends it.
func (f *filter) add(text string, version int) error {
	if text == "!" {
		f.rules = nil
		return nil
	}
	r := rule{}
	pattern := text
	sender := true
	if kind, rest, ok := splitRule(text); ok {
		mods := kind[1:]
		switch kind[0] {
		case '+', 'S':
			r.include = true
		case '-', 'H':
		case 'P', 'R': // concerns deletions at the receiver, which is the client
			return nil
		case '!':
			f.rules = nil
			return nil
		default:
			return fmt.Errorf("filter rule %q: only + - H S P R and ! are served here", printable(text))
		}
		for _, m := range mods {
			switch m {
			case '/':
				r.anchored, r.fullPath = true, true
			case '!':
				r.negate = true
			case 's':
			case 'r':
				sender = strings.ContainsRune(mods, 's')
			case 'p', 'x':
			default:
				return fmt.Errorf("filter rule %q: modifier %q is not served here", printable(text), m)
			}
		}
		pattern = rest
	} else if version >= 29 {
		return fmt.Errorf("filter rule %q: expected + or - first", printable(text))
	}
	if !sender {
		return nil
	}
	if pattern == "" || strings.IndexByte(pattern, 0) >= 0 {
		return fmt.Errorf("filter rule %q: no pattern", printable(text))
	}
	if p, ok := strings.CutPrefix(pattern, "/"); ok {
		r.anchored, pattern = true, p
	}
	if p, ok := strings.CutSuffix(pattern, "/"); ok && p != "" {
		r.dirOnly, pattern = true, p
	}
	r.pattern = pattern
	r.fullPath = r.anchored || strings.Contains(pattern, "/") || strings.Contains(pattern, "**")
	f.rules = append(f.rules, r)
	return nil
}

// splitRule splits a rule such as "-! pattern" into its kind with modifiers and its pattern.
func splitRule(text string) (kind, pattern string, ok bool) {
	if text == "" || !strings.ContainsRune("+-HSPR!.:", rune(text[0])) {
		return "", "", false
	}
	at := strings.IndexAny(text, " _")
	if at < 1 || at > 6 {
		return "", "", false
	}
	return text[:at], text[at+1:], true
}

// excludes reports whether the path, relative to the root of the transfer, is excluded.
func (f *filter) excludes(path string, dir bool) bool {
	for i := range f.rules {
		r := &f.rules[i]
		if r.dirOnly && !dir {
			continue
		}
		if r.match(path, dir) != r.negate {
			return !r.include
		}
	}
	return false
}

func (r *rule) match(path string, dir bool) bool {
	pattern := r.pattern
	if !r.fullPath {
		if i := strings.LastIndexByte(path, '/'); i >= 0 {
			path = path[i+1:]
		}
		return wildMatch(pattern, path)
	}
	if p, ok := strings.CutSuffix(pattern, "/***"); ok { // matches the directory and everything in it
		if dir && r.matchTail(p, path) {
			return true
		}
		pattern = p + "/**"
	}
	return r.matchTail(pattern, path)
}

// matchTail matches a pattern against the whole path and, unless anchored, against each suffix of the
// path that begins after a slash.
func (r *rule) matchTail(pattern, path string) bool {
	if wildMatch(pattern, path) {
		return true
	}
	if r.anchored {
		return false
	}
	for i := 0; i < len(path); i++ {
		if path[i] == '/' && wildMatch(pattern, path[i+1:]) {
			return true
		}
	}
	return false
}

// wildMatch matches a pattern with *, **, ? and [...] against the whole text; only ** matches slashes.
// It simulates a nondeterministic automaton (Thompson's construction), so its running time is bounded
// by the product of both lengths.
func wildMatch(pattern, text string) bool {
	if !strings.ContainsAny(pattern, `*?[\`) {
		return pattern == text
	}
	ops := compilePattern(pattern)
	current, next := make([]bool, len(ops)+1), make([]bool, len(ops)+1)
	reach := func(set []bool, i int) {
		for set[i] = true; i < len(ops) && ops[i].star; i++ {
			set[i+1] = true
		}
	}
	reach(current, 0)
	for k := 0; k < len(text); k++ {
		clear(next)
		c := text[k]
		for i, on := range current[:len(ops)] {
			switch {
			case !on:
			case ops[i].star:
				if c != '/' || ops[i].crossSlash {
					reach(next, i)
				}
			case ops[i].matches(c):
				reach(next, i+1)
			}
		}
		current, next = next, current
	}
	return current[len(ops)]
}

// patternOp is one element of a compiled pattern: a star, or a set of bytes.
type patternOp struct {
	star, crossSlash bool
	set              [4]uint64
}

func (o *patternOp) add(c byte)          { o.set[c>>6] |= 1 << (c & 63) }
func (o *patternOp) matches(c byte) bool { return o.set[c>>6]&(1<<(c&63)) != 0 }

func compilePattern(p string) []patternOp {
	var ops []patternOp
	for i := 0; i < len(p); i++ {
		o := patternOp{}
		switch c := p[i]; {
		case c == '*':
			o.star = true
			for i+1 < len(p) && p[i+1] == '*' {
				o.crossSlash = true
				i++
			}
		case c == '?':
			for b := 0; b < 256; b++ {
				if b != '/' {
					o.add(byte(b))
				}
			}
		case c == '[':
			if end, ok := o.parseClass(p[i:]); ok {
				i += end
			} else {
				o.add('[')
			}
		case c == '\\' && i+1 < len(p):
			i++
			o.add(p[i])
		default:
			o.add(c)
		}
		ops = append(ops, o)
	}
	return ops
}

// parseClass parses a leading "[...]" and returns the index of its closing bracket.
func (o *patternOp) parseClass(p string) (int, bool) {
	i, not := 1, false
	if i < len(p) && (p[i] == '!' || p[i] == '^') {
		not, i = true, i+1
	}
	for first := true; i < len(p) && (p[i] != ']' || first); first = false {
		lo := p[i]
		if lo == '\\' && i+1 < len(p) {
			i++
			lo = p[i]
		}
		hi := lo
		if i+2 < len(p) && p[i+1] == '-' && p[i+2] != ']' {
			hi, i = p[i+2], i+2
		}
		for b := int(lo); b <= int(hi); b++ {
			o.add(byte(b))
		}
		i++
	}
	if i >= len(p) {
		o.set = [4]uint64{}
		return 0, false
	}
	if not {
		for k := range o.set {
			o.set[k] = ^o.set[k]
		}
	}
	o.set['/'>>6] &^= 1 << ('/' & 63)
	return i, true
}

// readFilter reads the list of filter rules at the start of a pull.
func (s *Session) readFilter() *filter {
	f := &filter{}
	total := 0
	for number := 1; ; number++ {
		n := s.readInt()
		if n == 0 {
			return f
		}
		if n < 0 || n >= maxPathBytes || number > maxRules || total+int(n) > maxRuleBytes {
			fail("filter list: rule %d of %d bytes: at most %d rules of %d bytes, %d in all",
				number, n, maxRules, maxPathBytes-1, maxRuleBytes)
		}
		total += int(n)
		if err := f.add(string(s.readN(int(n))), s.version); err != nil {
			s.sendMessage(msgError, "eiderhold: %v", err)
			fail("refused: %v", err)
		}
	}
}
