package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"eiderhold/internal/standin"
)

// TestPushListPullDelta is the thin path, whole.
func TestPushListPullDelta(t *testing.T) {
	r := start(t, 4, standin.NodeOptions{}, nil)
	big := content(1, 3<<20+17)
	tree := []standin.ClientFile{
		{Path: ".", Dir: true, MTime: 5}, file("a.txt", []byte("hello")), file("big", big), file("empty", nil),
		{Path: "sub", Dir: true, MTime: 6}, {Path: "sub-x", Dir: true, MTime: 6}, file("sub/mid", content(2, 700001)),
		file("sub-x/q", []byte("q")), file("sub.y", []byte("y")),
	}
	r.push("", tree...)
	same(t, r.pull(""), tree...)

	list := r.client()
	list.ListOnly = true
	rep, err := list.Pull(context.Background(), "records", "", nil)
	if err != nil || len(rep.Files) != len(tree) {
		t.Fatalf("listing: %d entries, %v, want %d", len(rep.Files), err, len(tree))
	}

	changed := append([]byte(nil), big...)
	changed[2<<20] ^= 1
	f := file("big", changed)
	f.MTime++
	rep = r.push("", f)
	if rep.Literal == 0 || rep.Literal > 4000 {
		t.Errorf("one byte changed: %d bytes of content crossed the wire", rep.Literal)
	}
	back := r.client()
	rep, err = back.Pull(context.Background(), "records", "big", map[string][]byte{"big": big})
	if err != nil || rep.Literal == 0 || rep.Literal > 4000 {
		t.Errorf("pull of one changed byte: %d bytes of content, %v", rep.Literal, err)
	}
	same(t, rep, f)

	// what was replaced is collected, and nothing else is
	r.until("collection", func() bool {
		n := 0
		for i := range 4 {
			d, _ := r.site.Disk(i)
			n += d.Items()
		}
		return n == 13+3+3 // extents of big, of sub/mid, of the small ones
	})
	tree[2] = f
	same(t, r.pull(""), tree...)
}

// TestSilentNode: one node takes what it is sent and never answers. A transfer that
// needs it ends before its client's own timeout, with what and why; one on other nodes
// is served meanwhile.
func TestSilentNode(t *testing.T) {
	r := start(t, 3, standin.NodeOptions{}, nil)
	silent := file("silent", content(1, 64<<20))
	other := file("other", content(2, 4<<20))
	all := r.only("node-2", 3)
	r.push("", silent)
	all()
	all = r.only("node-0", 3)
	r.push("", other)
	all()
	r.site.Node("node-2").Set(func(t *standin.Trouble) { t.Hang = true })

	type end struct {
		rep *standin.Report
		err error
	}
	ended := make(chan end, 1)
	go func() {
		c := r.client()
		c.Timeout = 10 * time.Second
		rep, err := c.Pull(context.Background(), "records", "silent", nil)
		ended <- end{rep, err}
	}()
	served := 0
	for over := false; !over; {
		select {
		case e := <-ended:
			over = true
			if e.err != nil || !e.rep.Goodbye || e.rep.Exit(nil) != 23 || len(e.rep.LeftOut) != 1 ||
				!strings.Contains(strings.Join(e.rep.Said, " "), "node-2") {
				t.Errorf("ended with %v, exit %d, left out %q, said %q", e.err, e.rep.Exit(e.err), e.rep.LeftOut, e.rep.Said)
			}
			if e.rep.Took >= 10*time.Second {
				t.Errorf("it took %v", e.rep.Took)
			}
		default:
			same(t, r.pull("other"), other)
			served++
		}
	}
	if served < 2 {
		t.Errorf("%d other transfers were served meanwhile", served)
	}
	r.until("the transfer's end", func() bool { return r.gw.Front().Stats().Active == 0 })
	if f := r.gw.Front().Stats(); f.FilesLeftOut != 1 || f.Failed+f.Refused != 1 {
		t.Errorf("front: %+v", f)
	}
}

// TestRestartKeepsAll starts a gateway again on its folder.
func TestRestartKeepsAll(t *testing.T) {
	r := start(t, 3, standin.NodeOptions{}, nil)
	tree := []standin.ClientFile{file("one", content(1, 600000)), file("two", content(2, 10))}
	r.push("", tree...)
	r.stop()
	r.boot()
	same(t, r.pull(""), tree...)
}
