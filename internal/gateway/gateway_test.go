package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"eiderhold/internal/standin"
)

// TestPushListPullDelta pushes a tree, lists and pulls it, and changes one byte, which must be
// transferred as a small delta both ways.
func TestPushListPullDelta(t *testing.T) {
	r := newFixture(t, 4, standin.NodeOptions{}, nil)
	big := content(1, 3<<20+17)
	tree := []standin.ClientFile{
		{Path: ".", Dir: true, MTime: 5}, testFile("a.txt", []byte("hello")), testFile("big", big), testFile("empty", nil),
		{Path: "sub", Dir: true, MTime: 6}, {Path: "sub-x", Dir: true, MTime: 6}, testFile("sub/mid", content(2, 700001)),
		testFile("sub-x/q", []byte("q")), testFile("sub.y", []byte("y")),
	}
	r.push("", tree...)
	checkPulled(t, r.pull(""), tree...)

	list := r.client()
	list.ListOnly = true
	rep, err := list.Pull(context.Background(), "records", "", nil)
	if err != nil || len(rep.Files) != len(tree) {
		t.Fatalf("listing: %d entries, %v, want %d", len(rep.Files), err, len(tree))
	}

	changed := append([]byte(nil), big...)
	changed[2<<20] ^= 1
	f := testFile("big", changed)
	f.MTime++
	rep = r.push("", f)
	if rep.Literal == 0 || rep.Literal > 4000 {
		t.Errorf("push of one changed byte: %d bytes of content sent", rep.Literal)
	}
	back := r.client()
	rep, err = back.Pull(context.Background(), "records", "big", map[string][]byte{"big": big})
	if err != nil || rep.Literal == 0 || rep.Literal > 4000 {
		t.Errorf("pull of one changed byte: %d bytes of content sent, %v", rep.Literal, err)
	}
	checkPulled(t, rep, f)

	// The extents of the replaced version are collected, and no others.
	r.waitFor("collection", func() bool {
		n := 0
		for i := range 4 {
			d, _ := r.site.Disk(i)
			n += d.Items()
		}
		return n == 13+3+3 // extents of big, of sub/mid and of the three small files
	})
	tree[2] = f
	checkPulled(t, r.pull(""), tree...)
}

// TestSilentNode has one node accept requests without answering. A transfer that needs it must
// end before its client's timeout and report the file and the reason, and transfers from other
// nodes must be served meanwhile.
func TestSilentNode(t *testing.T) {
	r := newFixture(t, 3, standin.NodeOptions{}, nil)
	silent := testFile("silent", content(1, 64<<20))
	other := testFile("other", content(2, 4<<20))
	restore := r.onlyReady("node-2", 3)
	r.push("", silent)
	restore()
	restore = r.onlyReady("node-0", 3)
	r.push("", other)
	restore()
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
			if e.err != nil || !e.rep.Complete || e.rep.Exit(nil) != 23 || len(e.rep.LeftOut) != 1 ||
				!strings.Contains(strings.Join(e.rep.Messages, " "), "node-2") {
				t.Errorf("transfer ended with %v, exit %d, left out %q, said %q", e.err, e.rep.Exit(e.err), e.rep.LeftOut, e.rep.Messages)
			}
			if e.rep.Took >= 10*time.Second {
				t.Errorf("transfer took %v", e.rep.Took)
			}
		default:
			checkPulled(t, r.pull("other"), other)
			served++
		}
	}
	if served < 2 {
		t.Errorf("%d other transfers were served meanwhile, want 2 or more", served)
	}
	r.waitFor("the transfer's end", func() bool { return r.gw.Front().Stats().Active == 0 })
	if f := r.gw.Front().Stats(); f.FilesLeftOut != 1 || f.Failed+f.Refused != 1 {
		t.Errorf("front: %+v", f)
	}
}

// TestRestartKeepsFiles restarts a gateway on its folder.
func TestRestartKeepsFiles(t *testing.T) {
	r := newFixture(t, 3, standin.NodeOptions{}, nil)
	tree := []standin.ClientFile{testFile("one", content(1, 600000)), testFile("two", content(2, 10))}
	r.push("", tree...)
	r.stopGateway()
	r.startGateway()
	checkPulled(t, r.pull(""), tree...)
}
