package rsync

import (
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"
)

// run runs the whole session in the order of the protocol.
func (s *Session) run() {
	s.writeString(fmt.Sprintf("@RSYNCD: %d\n", newestVersion))
	s.parseGreeting(s.readLine())
	if motd := s.gateway.MOTD(); motd != "" {
		s.writeString(strings.TrimRight(motd, "\n") + "\n")
	}
	s.phase = "module name"
	name := s.readLine()
	if name == "" || name == "#list" {
		for _, m := range s.gateway.Modules() {
			if !m.Hidden {
				s.writeString(fmt.Sprintf("%-15s\t%s\n", m.Name, m.Comment))
			}
		}
		s.writeString("@RSYNCD: EXIT\n")
		return
	}
	if strings.HasPrefix(name, "#") {
		s.refuse("Unknown command '%s'", name)
	}
	module, ok := s.gateway.Module(name)
	if !ok {
		s.refuse("Unknown module '%s'", printable(name))
	}
	user := s.authenticate(module)
	if limit, ok := s.gateway.AcquireConn(module.Name); !ok {
		s.refuse("max connections (%d) reached -- try again later", limit)
	}
	s.writeString("@RSYNCD: OK\n")
	s.phase = "arguments"
	args := s.readArguments()
	s.seed = s.gateway.Seed()
	s.writeInt(int32(s.seed))
	s.multiplexed = true
	opt, err := parseOptions(args)
	if err == nil {
		err = opt.check(module)
	}
	if err != nil {
		s.sendMessage(msgError, "eiderhold: %v", err)
		panic(sessionError{fmt.Errorf("rsync: refused: %w", err)})
	}
	for _, note := range opt.notes {
		s.sendMessage(msgInfo, "eiderhold: %s", note)
	}
	s.opt = opt
	paths, err := modulePaths(module.Name, opt.paths)
	if err == nil {
		s.tree, err = s.gateway.Begin(Transfer{Module: module.Name, User: user, Push: !opt.sender, Paths: paths,
			Timeout: opt.timeout, BWLimit: opt.bwlimit, DryRun: opt.dryRun, Protocol: s.version})
	}
	if err != nil {
		s.sendMessage(msgError, "eiderhold: %v", err)
		panic(sessionError{fmt.Errorf("rsync: refused: %w", err)})
	}
	if opt.sender {
		s.servePull(paths)
	} else {
		s.servePush(paths)
	}
}

// refuse ends the handshake with an @ERROR line, which clients show before they exit with code 5.
func (s *Session) refuse(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.writeString("@ERROR: " + text + "\n")
	fail("%s: refused: %s", s.phase, text)
}

// printable escapes control characters in a client's text for terminals and logs.
func printable(t string) string {
	q := strconv.Quote(t)
	return q[1 : len(q)-1]
}

// parseGreeting parses the client's greeting, "@RSYNCD: 31.0 sha512 sha256 sha1 md5 md4". The text after
// the version is optional.
func (s *Session) parseGreeting(line string) {
	rest, ok := strings.CutPrefix(line, "@RSYNCD: ")
	number, _, _ := strings.Cut(rest, " ")
	major, _, _ := strings.Cut(number, ".")
	v, err := strconv.Atoi(major)
	if !ok || err != nil || v < 0 {
		s.refuse("protocol startup error")
	}
	if v < oldestVersion {
		s.refuse("protocol version %d is not served: %d or later is", v, oldestVersion)
	}
	s.version = min(v, newestVersion)
}

// authenticate asks for a login if the module restricts its users, and returns the user name. The
// response is the base64 of MD4 over password and challenge, as in protocols before 30; some clients
// hash four zero bytes first.
func (s *Session) authenticate(m Module) string {
	if len(m.Users) == 0 {
		return ""
	}
	s.phase = "login"
	challenge := s.gateway.Challenge()
	s.writeString("@RSYNCD: AUTHREQD " + challenge + "\n")
	user, response, _ := strings.Cut(s.readLine(), " ")
	secret, known := s.gateway.Secret(m.Name, user)
	good := subtle.ConstantTimeCompare([]byte(response), []byte(Response(secret, challenge, false))) |
		subtle.ConstantTimeCompare([]byte(response), []byte(Response(secret, challenge, true)))
	if !known || !slices.Contains(m.Users, user) || good != 1 {
		s.refuse("auth failed on module %s", m.Name)
	}
	return user
}

// Response returns a client's response to a challenge. If seeded, four zero bytes are hashed first.
func Response(secret, challenge string, seeded bool) string {
	h := md4.New()
	if seeded {
		h.Write(make([]byte, 4))
	}
	h.Write([]byte(secret))
	h.Write([]byte(challenge))
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil))
}

// readArguments reads the argument lines up to the empty line.
func (s *Session) readArguments() []string {
	var args []string
	total := 0
	for {
		a := s.readLine()
		if a == "" {
			return args
		}
		if total += len(a); len(args) >= maxArgs || total > maxArgBytes {
			s.refuse("more than %d arguments or %d bytes of them", maxArgs, maxArgBytes)
		}
		args = append(args, a)
	}
}

// modulePaths converts "module/path" arguments to paths in the module. A trailing slash is kept: it
// requests a directory's content.
func modulePaths(module string, args []string) ([]string, error) {
	paths := make([]string, 0, len(args))
	for _, a := range args {
		p, ok := strings.CutPrefix(a, module)
		if !ok || p != "" && p[0] != '/' {
			return nil, fmt.Errorf("path %q does not begin with the module's name", printable(a))
		}
		slash := strings.HasSuffix(p, "/")
		p = strings.Trim(p, "/")
		if p == "" {
			paths = append(paths, "./")
			continue
		}
		clean, err := CleanPath(p)
		if err != nil {
			return nil, err
		}
		if slash && clean != "." {
			clean += "/"
		} else if clean == "." {
			clean = "./"
		}
		paths = append(paths, clean)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no path given")
	}
	return paths, nil
}

// CleanPath validates a relative path from a client: not empty, not absolute, no "..", no NUL, at most
// 4095 bytes with names of at most 255. It removes "." elements and repeated slashes.
func CleanPath(p string) (string, error) {
	switch {
	case p == "":
		return "", fmt.Errorf("a name of 0 bytes")
	case len(p) >= maxPathBytes:
		return "", fmt.Errorf("a name of %d bytes: at most %d", len(p), maxPathBytes-1)
	case p[0] == '/':
		return "", fmt.Errorf("name %q is absolute", printable(p))
	case strings.IndexByte(p, 0) >= 0:
		return "", fmt.Errorf("name %q has a NUL byte", printable(p))
	}
	plain := true
	for part := range strings.SplitSeq(p, "/") {
		if part == ".." {
			return "", fmt.Errorf("name %q has a '..' part", printable(p))
		}
		if len(part) > 255 {
			return "", fmt.Errorf("a part of a name of %d bytes: at most 255", len(part))
		}
		plain = plain && part != "" && part != "."
	}
	if plain {
		return p, nil
	}
	var parts []string
	for part := range strings.SplitSeq(p, "/") {
		if part != "" && part != "." {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return ".", nil
	}
	return strings.Join(parts, "/"), nil
}
