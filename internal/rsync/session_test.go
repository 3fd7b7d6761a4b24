package rsync

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	//lint:ignore SA1019 MD4 is the digest of rsync protocol 29.
	"golang.org/x/crypto/md4"
)

func littleEndian(vs ...int32) []byte {
	var b []byte
	for _, v := range vs {
		b = binary.LittleEndian.AppendUint32(b, uint32(v))
	}
	return b
}

func concat(parts ...any) []byte {
	var b []byte
	for _, p := range parts {
		switch p := p.(type) {
		case string:
			b = append(b, p...)
		case []byte:
			b = append(b, p...)
		case int:
			b = append(b, byte(p))
		}
	}
	return b
}

const pullHandshake = "@RSYNCD: 29\nm\n--server\n--sender\n-rlt\n.\nm/\n\n"
const pushHandshake = "@RSYNCD: 29\nm\n--server\n-rlt\n.\nm/\n\n"

// TestHandshake checks the answers to the first lines that clients send.
func TestHandshake(t *testing.T) {
	for _, c := range []struct{ name, in, want, err string }{
		{"listing", "@RSYNCD: 29\n\n", "m              \ta module\n", ""},
		{"#list", "@RSYNCD: 31.0 sha512 sha256 sha1 md5 md4\n#list\n", "private        \t\n@RSYNCD: EXIT\n", ""},
		{"hidden", "@RSYNCD: 27\n#list\n", "ro ", ""},
		{"newer", "@RSYNCD: 99.3 x\nm\n", "@RSYNCD: OK\n", ""},
		{"too old", "@RSYNCD: 26\n", "@ERROR: protocol version 26 is not served", "refused"},
		{"no greeting", "GET / HTTP/1.0\r\n", "@ERROR: protocol startup error", "refused"},
		{"no number", "@RSYNCD: x\n", "@ERROR: protocol startup error", "refused"},
		{"half a greeting", "@RSYN", "@RSYNCD: 29\n", ""},
		{"long line", "@RSYNCD: 29" + strings.Repeat(" ", 5000), "", "a line of over 4096"},
		{"unknown module", "@RSYNCD: 29\nx\x1b[2J\n", `@ERROR: Unknown module 'x\x1b[2J'`, "refused"},
		{"unknown command", "@RSYNCD: 29\n#early_input=5\n", "@ERROR: Unknown command", "refused"},
		{"hidden module can be opened", "@RSYNCD: 29\nhid\n", "@RSYNCD: OK", ""},
		{"good login", "@RSYNCD: 29\nprivate\nanna " + Response("pw", "challenge", false) + "\n", "@RSYNCD: OK", ""},
		{"good login with seed bytes", "@RSYNCD: 29\nprivate\nanna " + Response("pw", "challenge", true) + "\n", "@RSYNCD: OK", ""},
		{"wrong password", "@RSYNCD: 29\nprivate\nanna " + Response("no", "challenge", false) + "\n", "@ERROR: auth failed on module private", "refused"},
		{"not one of the users", "@RSYNCD: 29\nprivate\nbert " + Response("pw", "challenge", false) + "\n", "@ERROR: auth failed", "refused"},
		{"unknown user with the empty password", "@RSYNCD: 29\nprivate\ncarl " + Response("", "challenge", false) + "\n", "@ERROR: auth failed", "refused"},
		{"empty response", "@RSYNCD: 29\nprivate\n\n", "@ERROR: auth failed", "refused"},
		{"many arguments", "@RSYNCD: 29\nm\n" + strings.Repeat("-v\n", 1001), "@ERROR: more than 1000 arguments", "refused"},
	} {
		for _, piece := range []int{1, 1 << 20} {
			s, out := exchange(newMemory(), []byte(c.in), piece)
			if !strings.Contains(string(out), c.want) {
				t.Errorf("%s: %q, want %q", c.name, out, c.want)
			}
			_, err := s.Ended()
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("%s: ended with %v, want %q", c.name, err, c.err)
			}
			if strings.Contains(string(out), "hid") {
				t.Errorf("%s: the hidden module is shown", c.name)
			}
			s.Close(errStopped)
		}
	}
	m := newMemory()
	m.full = true
	if _, out := exchange(m, []byte("@RSYNCD: 29\nm\n"), 100); !strings.Contains(string(out), "@ERROR: max connections (3) reached -- try again later\n") {
		t.Errorf("full module: %q", out)
	}
}

// TestOptions checks that each option of a client is either supported or refused by its name.
func TestOptions(t *testing.T) {
	for _, c := range []struct {
		module, args, want string // want is empty if a transfer begins
	}{
		{"m", "--server --sender -vlogDtprWIne.iLsfxCIvu --timeout=10 --partial --numeric-ids --bwlimit=7 . m/x", ""},
		{"m", "--server -vlogDtpr --stats --log-format=%i . m/", ""},
		{"m", "--server --sender -z . m/", "-z (--compress)"},
		{"m", "--server -rc . m/", "-c (--checksum)"},
		{"m", "--server -r --delete-during . m/", "--delete-during"},
		{"m", "--server --sender -H . m/", "--hard-links"},
		{"m", "--server --sender -A . m/", "--acls"},
		{"m", "--server --sender -R . m/", "--relative"},
		{"m", "--server --sender -rZ . m/", "-Z"},
		{"m", "--server --inplace . m/", "--inplace"},
		{"m", "--server --files-from=x . m/", "--files-from"},
		{"m", "--server --timeout=x . m/", "--timeout=x"},
		{"m", "--server --timeout=-1 . m/", "--timeout=-1"},
		{"m", "--server -rm . m/", "--prune-empty-dirs"},
		{"m", "--server --backup . m/", "--backup"},
		{"m", "--sender -r . m/", "--server is missing"},
		{"m", "--server --sender -r m/", "stands before the paths"},
		{"m", "--server --sender -r", "no '.'"},
		{"m", "--server --sender -r .", "no path given"},
		{"m", "--server -r . m/a m/b", "one destination"},
		{"m", "--server --sender . other/x", "module's name"},
		{"m", "--server --sender . m/../../etc/passwd", "'..'"},
		{"m", "--server --sender . m/" + strings.Repeat("x", 300), "at most 255"},
		{"ro", "--server -r . ro/", "read only"},
		{"wo", "--server --sender -r . wo/", "write only"},
	} {
		m := newMemory()
		in := "@RSYNCD: 29\n" + c.module + "\n" + strings.ReplaceAll(c.args, " ", "\n") + "\n\n"
		s, out := exchange(m, []byte(in), 7)
		_, err := s.Ended()
		switch {
		case c.want == "" && (m.transfer == nil || err != nil):
			t.Errorf("%s: not begun, %v, %q", c.args, err, out)
		case c.want != "" && (err == nil || !strings.Contains(string(out), c.want) || m.transfer != nil):
			t.Errorf("%s: %v, want %q in %q", c.args, err, c.want, out)
		}
		s.Close(errStopped)
	}
	m := newMemory()
	s, _ := exchange(m, []byte("@RSYNCD: 29\nm\n--server\n--sender\n-n\n--timeout=10\n--bwlimit=7\n.\nm//a/./b//\n\n"), 100)
	s.Close(errStopped)
	if b := m.transfer; b.Timeout != 10 || b.BWLimit != 7 || !b.DryRun || b.Push || b.Paths[0] != "a/b/" {
		t.Errorf("transfer %+v", b)
	}
}

// parseFrames splits a session's output after the checksum seed into file data and messages.
func parseFrames(t *testing.T, out []byte) (data []byte, messages []string) {
	t.Helper()
	_, rest, ok := bytes.Cut(out, []byte("@RSYNCD: OK\n"))
	if !ok || len(rest) < 4 {
		t.Fatalf("no transfer in %q", out)
	}
	rest = rest[4:]
	for len(rest) >= 4 {
		h := binary.LittleEndian.Uint32(rest)
		n := int(h & 0xffffff)
		if len(rest) < 4+n {
			t.Fatalf("a frame of %d bytes, only %d present", n, len(rest)-4)
		}
		if h>>24 == 7 {
			data = append(data, rest[4:4+n]...)
		} else {
			messages = append(messages, string(rest[4:4+n]))
		}
		rest = rest[4+n:]
	}
	return data, messages
}

// TestMalformedPush checks that malformed file lists and file contents end the session with an error that
// names the cause, and store no file.
func TestMalformedPush(t *testing.T) {
	entry := func(name string, size, mode int32) []byte {
		return concat(64, littleEndian(int32(len(name))), name, littleEndian(size), littleEndian(1), littleEndian(mode))
	}
	end := concat(0, littleEndian(0))
	f := int32(typeFile | 0o644)
	good := concat(pushHandshake, entry("f", 3, f), end)
	ask := concat(littleEndian(0), []byte{0, 0x80})
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"name with ..", "'..'", concat(pushHandshake, entry("a/../../b", 1, f))},
		{"absolute name", "absolute", concat(pushHandshake, entry("/etc/passwd", 1, f))},
		{"name with NUL", "NUL", concat(pushHandshake, entry("a\x00b", 1, f))},
		{"name of 0 bytes", "a name of 0+0 bytes", concat(pushHandshake, 64, littleEndian(0))},
		{"name of 5000 bytes", "a name of 0+5000", concat(pushHandshake, 64, littleEndian(5000))},
		{"negative name", "-5 bytes", concat(pushHandshake, 64, littleEndian(-5))},
		{"prefix beyond the last name", "after one of 0", concat(pushHandshake, 32, 9, 1, "x")},
		{"negative size", "-9 bytes long", concat(pushHandshake, 64, littleEndian(1), "f", littleEndian(-1), littleEndian(-9, -1))},
		{"long link", "link target", concat(pushHandshake, entry("l", 3, int32(typeLink|0o777)), littleEndian(1<<30))},
		{"too many files", "more than 1000 entries", concat(pushHandshake, bytes.Repeat(entry("f", 1, f), 1002))},
		{"file number out of range", "file 7 of 1", concat(good, littleEndian(7), []byte{0, 0x80})},
		{"negative file", "file -2 of 1", concat(good, littleEndian(-2), []byte{0, 0x80})},
		{"content not requested", "not asked for", concat(pushHandshake, entry("d", 0, int32(typeDir|0o755)), end, ask)},
		{"too many block sums", "block sums", concat(good, ask, littleEndian(1<<30, 700, 2, 0))},
		{"negative block", "block sums", concat(good, ask, littleEndian(1, -700, 2, 0))},
		{"block without a basis", "block 4 of 0", concat(good, ask, littleEndian(0, 0, 2, 0), littleEndian(-5))},
		{"huge token", "a token of", concat(good, ask, littleEndian(0, 0, 2, 0), littleEndian(1<<30))},
		{"ends in a token", "closed the connection", concat(good, ask, littleEndian(0, 0, 2, 0), littleEndian(100), "abc")},
		{"too many names", "more than 100000 names", concat("@RSYNCD: 29\nm\n--server\n-ro\n.\nm/\n\n",
			concat(64, littleEndian(1), "f", littleEndian(3), littleEndian(1), littleEndian(f), littleEndian(0)), 0, bytes.Repeat(concat(littleEndian(5), 1, "x"), 100_002))},
	} {
		for _, piece := range []int{1, 4096} {
			m := newMemory()
			s, out := exchange(m, c.in, piece)
			s.EOF()
			ended, err := s.Ended()
			if !ended || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: ended %v, %v, want %q; out %q", c.name, ended, err, c.want, out[:min(len(out), 300)])
			}
			if m.ended != 1 || m.files["f"] != nil {
				t.Errorf("%s: Tree.End was called %d times; files %v", c.name, m.ended, m.files)
			}
			s.Close(errStopped)
		}
	}
}

// TestMalformedPull checks the same for malformed filter lists and file requests of a pull.
func TestMalformedPull(t *testing.T) {
	noRules := littleEndian(0)
	ask := concat(littleEndian(1), []byte{0, 0x80})
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"negative rule", "rule 1 of -1 bytes", concat(pullHandshake, littleEndian(-1))},
		{"long rule", "rule 1 of 9999 bytes", concat(pullHandshake, littleEndian(9999))},
		{"many rules", "rule 10001", concat(pullHandshake, bytes.Repeat(concat(littleEndian(3), "- x"), 10_002))},
		{"merge rule", "refused", concat(pullHandshake, littleEndian(7), ": .rules")},
		{"no rule", "refused", concat(pullHandshake, littleEndian(1), "x")},
		{"file number out of range", "request for file 9 of 2", concat(pullHandshake, noRules, littleEndian(9), []byte{0, 0x80})},
		{"a directory's content", "content of", concat(pullHandshake, noRules, littleEndian(0), []byte{0, 0x80})},
		{"too many block sums", "block sums", concat(pullHandshake, noRules, ask, littleEndian(1<<25, 700, 16, 0))},
		{"strong sums too long", "block sums", concat(pullHandshake, noRules, ask, littleEndian(1, 700, 17, 0))},
		{"remainder over the block", "block sums", concat(pullHandshake, noRules, ask, littleEndian(1, 700, 16, 701))},
		{"long xname", "a name of", concat(pullHandshake, noRules, littleEndian(1), []byte{0, 0x90, 0xff, 0xff})},
	} {
		for _, piece := range []int{1, 4096} {
			m := newMemory()
			m.add("f", typeFile|0o644, "abc")
			s, out := exchange(m, c.in, piece)
			ended, err := s.Ended()
			if !ended || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%s: ended %v, %v, want %q; out %q", c.name, ended, err, c.want, out)
			}
			if m.ended != 1 || m.openReaders != 0 {
				t.Errorf("%s: Tree.End was called %d times, %d readers were not closed", c.name, m.ended, m.openReaders)
			}
			s.Close(errStopped)
		}
	}
}

// TestPullReadError checks a file whose second half cannot be read: it ends with a wrong checksum, the
// error is reported to the client once, and the second request for it is left out. The other files arrive
// complete.
func TestPullReadError(t *testing.T) {
	m := newMemory()
	m.notReadyCalls = 2
	m.add("bad", typeFile|0o644, strings.Repeat("x", 100_000))
	m.add("good", typeFile|0o644, "fine")
	m.readErrors["bad"] = errDisk
	none := littleEndian(0, 0, 0, 0)
	ask := func(i int32) []byte { return concat(littleEndian(i), []byte{0, 0x80}, none) }
	s, out := exchange(m, concat(pullHandshake, littleEndian(0), ask(1), ask(2), littleEndian(-1), ask(1), littleEndian(-1, -1, -1)), 11)
	if ended, err := s.Ended(); !ended || err != nil {
		t.Fatalf("ended %v, %v, phase %s", ended, err, s.Phase())
	}
	data, messages := parseFrames(t, out)
	if len(messages) != 1 || !strings.Contains(messages[0], "bad: a bad disk") {
		t.Errorf("messages %q", messages)
	}
	wrong := md4.New()
	wrong.Write(littleEndian(12345))
	wrong.Write([]byte(strings.Repeat("x", 65536)))
	if bytes.Contains(data, wrong.Sum(nil)) {
		t.Error("the sum of the part that came is right: the client would keep it")
	}
	sum := md4.New()
	sum.Write(littleEndian(12345))
	sum.Write([]byte("fine"))
	if !bytes.Contains(data, concat(littleEndian(4), "fine", littleEndian(0), sum.Sum(nil))) {
		t.Errorf("the good file was not sent")
	}
	if m.openReaders != 0 {
		t.Errorf("%d readers were not closed", m.openReaders)
	}
}

// TestListEntryLimitOverAllTransfers checks that a file list that reaches the limit over all transfers
// ends with a message to the client, on a pull and on a push.
func TestListEntryLimitOverAllTransfers(t *testing.T) {
	for _, in := range [][]byte{concat(pullHandshake, littleEndian(0)), concat(pushHandshake, bytes.Repeat(concat(64, littleEndian(1), "f", littleEndian(0), littleEndian(1), littleEndian(int32(typeFile|0o644))), 700))} {
		m := newMemory()
		m.maxListEntries = 500
		for i := range 600 {
			m.add(fmt.Sprintf("f%03d", i), typeFile|0o644, "")
		}
		s, out := exchange(m, in, 4096)
		_, messages := parseFrames(t, out)
		if ended, err := s.Ended(); !ended || err == nil || !strings.Contains(err.Error(), "rsync.files") ||
			len(messages) != 1 || !strings.Contains(messages[0], "come back later") {
			t.Errorf("ended %v, %v, messages %q", ended, err, messages)
		}
		s.Close(errStopped)
	}
}

// TestKeepAliveIsNoRequest checks that a keep-alive, which protocol 29 sends as a request for the number
// after the last file, is not taken for a file request.
func TestKeepAliveIsNoRequest(t *testing.T) {
	m := newMemory()
	m.add("f", typeFile|0o644, "abc")
	alive := concat(littleEndian(2), []byte{0, 0x20})
	s, _ := exchange(m, concat(pullHandshake, littleEndian(0), alive, alive, littleEndian(-1, -1, -1), littleEndian(-1)), 3)
	if ended, err := s.Ended(); !ended || err != nil {
		t.Errorf("ended %v, %v", ended, err)
	}
}

// TestPushChecksumRetry checks that a file with a wrong checksum is requested once more, without a basis,
// and left out if the checksum is wrong again.
func TestPushChecksumRetry(t *testing.T) {
	for _, again := range []bool{true, false} {
		m := newMemory()
		sum := md4.New()
		sum.Write(littleEndian(12345))
		sum.Write([]byte("abc"))
		right := sum.Sum(nil)
		body := func(sum []byte) []byte {
			return concat(littleEndian(0), []byte{0, 0x80}, littleEndian(0, 0, 2, 0), littleEndian(3), "abc", littleEndian(0), sum)
		}
		in := concat(pushHandshake, 64, littleEndian(1), "f", littleEndian(3), littleEndian(1000), littleEndian(int32(typeFile|0o644)), 0, littleEndian(0), body(make([]byte, 16)), littleEndian(-1))
		if again {
			in = concat(in, body(right))
		} else {
			in = concat(in, body(make([]byte, 16)))
		}
		s, out := exchange(m, concat(in, littleEndian(-1, -1)), 5)
		ended, err := s.Ended()
		_, messages := parseFrames(t, out)
		if !ended || err != nil || again != (len(messages) == 0) || again != (m.files["f"] != nil && string(m.files["f"].data) == "abc") {
			t.Errorf("second time right: %v: ended %v, %v, messages %q, files %v", again, ended, err, messages, m.files)
		}
	}
}

// TestLargeFilesAndOldProtocols lists a file of over 4 GiB and a long name to clients of each protocol.
func TestLargeFilesAndOldProtocols(t *testing.T) {
	for _, v := range []int{27, 28, 29} {
		m := newMemory()
		m.add("huge", typeFile|0o644, "")
		m.files["huge"].Size = 5 << 30
		long := strings.Repeat("n", 255) + "/" + strings.Repeat("o", 200)
		m.add(long, typeFile|0o600, "x")
		s, out := exchange(m, concat(fmt.Sprintf("@RSYNCD: %d\nm\n--server\n--sender\n-rogt\n.\nm/\n\n", v), littleEndian(0)), 9)
		data, _ := parseFrames(t, out)
		if !bytes.Contains(data, concat("huge", littleEndian(-1), binary.LittleEndian.AppendUint64(nil, 5<<30))) || !bytes.Contains(data, []byte(long)) {
			t.Errorf("protocol %d: %q", v, data)
		}
		s.Close(errStopped)
	}
}

// FuzzSession feeds arbitrary input to a session, which must not panic, produce disproportionate output or
// fail to end its tree.
func FuzzSession(f *testing.F) {
	entry := concat(64, littleEndian(1), "f", littleEndian(3), littleEndian(1), littleEndian(int32(typeFile|0o644)), 0, littleEndian(0))
	f.Add([]byte(pullHandshake), 3)
	f.Add(concat(pullHandshake, littleEndian(0), littleEndian(1), []byte{0, 0x80}, littleEndian(0, 0, 0, 0), littleEndian(-1, -1, -1, -1)), 1)
	f.Add(concat(pullHandshake, littleEndian(5), "- x/*", littleEndian(0)), 1)
	f.Add(concat(pushHandshake, entry, littleEndian(0), []byte{0, 0x80}, littleEndian(0, 0, 2, 0), littleEndian(3), "abc", littleEndian(0)), 100)
	f.Add(concat("@RSYNCD: 28\nm\n--server\n-rlogD\n.\nm/\n\n", 4, 1, 1, "d"), 2)
	f.Add([]byte("@RSYNCD: 29\nprivate\nanna x\n"), 2)
	f.Fuzz(func(t *testing.T, in []byte, piece int) {
		m := newMemory()
		m.maxFiles = 50
		m.add("f", typeFile|0o644, strings.Repeat("abc", 500))
		m.add("d/e", typeFile|0o644, "x")
		s, out := exchange(m, in, 1+(piece&0xff))
		if len(out) > 1<<20 && len(out) > 100*len(in) {
			t.Fatalf("%d bytes of output for %d bytes of input", len(out), len(in))
		}
		s.EOF()
		s.Close(errStopped)
		if m.transfer != nil && m.ended != 1 {
			t.Fatalf("Tree.End was called %d times, want 1", m.ended)
		}
	})
}

// TestDeltaMatchesMovedBlocks checks that for a file with moved blocks and an insertion only the new bytes
// and partial blocks are sent as literal data.
func TestDeltaMatchesMovedBlocks(t *testing.T) {
	old := make([]byte, 50_000)
	rand.New(rand.NewSource(1)).Read(old)
	fresh := append(append(append([]byte{}, old[20_000:]...), "put in"...), old[:20_000]...)
	m := newMemory()
	m.notReadyCalls = 1
	m.add("f", typeFile|0o644, string(fresh))
	head := chooseBlocks(int64(len(old)), false)
	ask := concat(littleEndian(1), []byte{0, 0x80}, littleEndian(head.count, head.blockSize, head.strongSize, head.remainder))
	h := md4.New()
	for i := range head.count {
		p := old[int(i)*int(head.blockSize):][:head.blockLen(i)]
		ask = concat(ask, littleEndian(int32(newRollingSum(p).sum())), strongSum(h, p, 12345, nil)[:head.strongSize])
	}
	s, out := exchange(m, concat(pullHandshake, littleEndian(0), ask, littleEndian(-1, -1, -1), littleEndian(-1)), 1000)
	if ended, err := s.Ended(); !ended || err != nil {
		t.Fatalf("ended %v, %v", ended, err)
	}
	data, _ := parseFrames(t, out)
	_, rest, ok := bytes.Cut(data, concat(littleEndian(1), []byte{0, 0x80}, littleEndian(head.count, head.blockSize, head.strongSize, head.remainder)))
	if !ok {
		t.Fatal("no answer to the file request")
	}
	var got []byte
	literal := 0
	for {
		n := int32(binary.LittleEndian.Uint32(rest))
		rest = rest[4:]
		if n == 0 {
			break
		}
		if n > 0 {
			got, rest, literal = append(got, rest[:n]...), rest[n:], literal+int(n)
		} else {
			i := -n - 1
			got = append(got, old[int(i)*int(head.blockSize):][:head.blockLen(i)]...)
		}
	}
	if !bytes.Equal(got, fresh) || literal > 4*int(head.blockSize) {
		t.Errorf("%d bytes, equal %v, %d of them literal", len(got), bytes.Equal(got, fresh), literal)
	}
}
