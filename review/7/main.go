// Command 7 shows that the id of another client's open request is accepted when the request that bears it comes behind
// others of the bad client on the same connection: the id is compared with the open ones only when its turn comes. The
// node then runs a write a second time that must not run twice.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"eiderhold/review/stand2"
)

const (
	length    = 25 * time.Second
	every     = 500 * time.Millisecond
	rate      = 60.0                  // requests a second beside those
	readTime  = 20 * time.Millisecond // that a node takes for a read
	writeTime = 30 * time.Millisecond // that a node takes for a write
	copyAfter = 8 * time.Millisecond  // from the usual client's write to the bad client's copy of it
	ahead     = 10                    // reads that the bad client sends with the copy, in front of it
)

// trouble says whether the disruption takes place; with TROUBLE=0 all else is the same without it.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	c := stand2.Start()
	list := stand2.Change{Rev: 41}
	var mu sync.Mutex
	runs := map[string]int{} // by request id
	for shard := range 8 {
		list.Targets = append(list.Targets, c.StartNode(fmt.Sprintf("s-%08x", shard+1), shard, 0,
			func(nc *stand2.NodeConn, r *stand2.Request) {
				mu.Lock()
				runs[r.ID()]++
				n := runs[r.ID()]
				mu.Unlock()
				c.Log("node %d runs %s %s %s, time %d", shard, r.Method, r.Path, r.ID(), n)
				if r.Method == "PUT" {
					time.Sleep(writeTime)
				} else {
					time.Sleep(readTime)
				}
				nc.Write(stand2.Answer(200, "", []byte("done for "+r.ID())))
			}).Target)
	}
	agent := c.StartAgent(list)
	settings := stand2.Settings(1)
	settings["classes"].([]any)[1].(map[string]any)["effect"] = "fragile" // record-write
	host := c.StartHost("n0", c.FreeAddress(), agent.Addr, settings, stand2.Limits(), stand2.Known(list))
	client := &stand2.Client{Addr: host.Listen}
	newCall := func(class string, shard int) *stand2.Call {
		k := &stand2.Call{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: class, Plan: "standard", Volume: fmt.Sprintf("%016x", shard+1),
			Item: fmt.Sprintf("%016x", rand.Uint64()), Shard: shard, Units: 1, Timeout: time.Second}
		if class == "record-write" {
			k.Body = []byte("record")
		}
		return k
	}
	var wg sync.WaitGroup
	sent, served, broken, copies := 0, 0, 0, 0
	end := time.Now().Add(length)
	wg.Add(1)
	go func() { // the other usual clients
		defer wg.Done()
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			k := newCall([]string{"record-read", "record-write"}[rand.Intn(2)], rand.Intn(8))
			wg.Add(1)
			go func() {
				defer wg.Done()
				client.Do(k)
				c.Log("client: %s: status %d", k.ID, k.Status)
			}()
		}
	}()
	for time.Sleep(2 * time.Second); time.Now().Before(end); time.Sleep(every) {
		write := newCall("record-write", rand.Intn(8))
		id, copyOfIt, answered := write.ID, string(write.Text()), make(chan bool)
		sent++
		wg.Add(2)
		go func() { // a usual client
			defer wg.Done()
			client.Do(write)
			close(answered)
		}()
		go func() { // the bad client
			defer wg.Done()
			time.Sleep(copyAfter)
			text := ""
			for range ahead {
				text += string(newCall("record-read", rand.Intn(8)).Text())
			}
			if !trouble {
				own := newCall("record-write", rand.Intn(8))
				id, copyOfIt = own.ID, string(own.Text())
			}
			c.Log("bad client: sends %d reads and %s at once", ahead, id)
			copied, statuses := exchange(host.Listen, text+copyOfIt)
			c.Log("bad client: sent them at %.4f: statuses %v", copied.Sub(c.Began).Seconds(), statuses)
			<-answered
			c.Log("client: %s sent at %.4f: status %d at %.4f", write.ID, write.SentAt.Sub(c.Began).Seconds(), write.Status,
				write.EndedAt.Sub(c.Began).Seconds())
			mu.Lock()
			defer mu.Unlock()
			if write.Status == 200 {
				served++
			}
			if !trouble || copied.Before(write.SentAt) || copied.After(write.EndedAt) {
				return
			}
			copies++ // sent while the write was open
			if runs[write.ID] > 1 {
				broken++
				c.Log("BROKEN: %s ran %d times", write.ID, runs[write.ID])
			}
		}()
	}
	wg.Wait()
	text := fmt.Sprintf("%d writes, %d served, %d copies of open ones sent by the bad client, %d writes ran twice", sent, served, copies, broken)
	switch {
	case broken > 0:
		c.End(stand2.Broken, text)
	case served < sent/2 || trouble && copies == 0:
		c.End(stand2.NotRun, text)
	}
	c.End(stand2.Held, text)
}

// exchange sends requests at once on a connection of its own and returns the statuses of the answers.
// They are written at the time sent.
func exchange(addr, text string) (sent time.Time, statuses []int) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return sent, nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, text)
	sent = time.Now()
	for r := bufio.NewReader(conn); len(statuses) <= ahead; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
	return sent, statuses
}
