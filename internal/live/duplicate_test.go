package live

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	front "eiderhold/internal/front/http"
	"eiderhold/internal/standin"
)

// TestDuplicateWriteRunsOnce guards against the fault of review/7 in a complete host: a copy of another client's open
// write, behind other requests of its client, reached the node after the write had ended. The copy comes while the
// write runs; then the write is answered, or its client leaves.
func TestDuplicateWriteRunsOnce(t *testing.T) {
	for name, leaves := range map[string]bool{"the write is answered": false, "its client leaves": true} {
		t.Run(name, func(t *testing.T) {
			const write, ahead = 99, 3
			releaseWrite, releaseReads := make(chan bool), make(chan bool)
			n := newNode(t, func(s standin.Seen) standin.Reply {
				if s.Method == "PUT" {
					<-releaseWrite
				} else {
					<-releaseReads
				}
				return echo(s)
			})
			r := newTestServer(t, standin.Target("s-1", n.Addr(), 0, "active", 0))
			writeText := fmt.Sprintf("PUT /api/%s/%s HTTP/1.1\r\nHost: o\r\nRequest-Id: %s\r\nRequest-Class: write\r\nX-Storage-Class: gold\r\n"+
				"Request-Timeout-Ms: 9000\r\nX-Extent: units=2,shard=0,hosts=1\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx",
				id(1), id(2), id(write))
			owner, bad := r.dial(), r.dial()
			send(t, owner, writeText)
			n.WaitSeen(1)
			text := ""
			for i := range ahead {
				text += readText(i, 0, 9*time.Second)
			}
			send(t, bad, text+writeText)
			n.WaitSeen(2) // the write and the first read
			if leaves {
				owner.Close()
				r.waitOpen(1)
				again := r.dial() // the write has begun: it must not run again for a new connection either
				send(t, again, writeText)
				expectStatus(t, bufio.NewReader(again), 409)
				close(releaseWrite)
			} else {
				close(releaseWrite)
				expectStatus(t, bufio.NewReader(owner), 200)
			}
			close(releaseReads)
			answers := bufio.NewReader(bad)
			for range ahead {
				expectStatus(t, answers, 200)
			}
			expectStatus(t, answers, 409)
			runs := 0
			for _, s := range n.WaitSeen(0) {
				if s.ID == id(write) {
					runs++
				}
			}
			if runs != 1 {
				t.Fatalf("the write ran %d times", runs)
			}
		})
	}
}

// waitOpen waits until this many clients' requests are open.
func (r *testServer) waitOpen(want int) {
	for open := -1; open != want; {
		got := make(chan int)
		r.front.Stats(func(s front.Stats) { got <- s.Open })
		open = <-got
	}
}

// dial opens a connection to the host, which ends with the test.
func (r *testServer) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// expectStatus reads one answer.
func expectStatus(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != want {
		t.Fatalf("%d %q %v, expected %d", resp.StatusCode, body, err, want)
	}
}
