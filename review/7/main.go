// Command 7 shows that requests of the usual clients get their final answer too late while other clients open
// connections by the hundred and say nothing: the requests wait in the listen queue of the host's machine.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"eiderhold/review/stand2"
)

const (
	length    = 45 * time.Second
	rate      = 40.0                   // requests a second of the usual clients; the pages: up to 200 for a host
	shards    = 8                      // one node each
	shortest  = 240 * time.Millisecond // the time of a request: from the example of the wire page
	longest   = 480 * time.Millisecond // to the example of the protocol page
	patience  = 3 * time.Second        // that the clients listen for, to see a late answer
	answerBy  = 500 * time.Millisecond // after its time, an answer only earns nothing; later the request is lost
	slack     = 50 * time.Millisecond  // of each time limit
	silent    = 400                    // connections of the clients that say nothing, at a time
	silentFor = 4 * time.Second        // until they leave, unless the host closes them before
	pause     = 8 * time.Second        // from one time to the next
)

func main() {
	c := stand2.Start()
	list := stand2.Change{Rev: 41}
	var mu sync.Mutex
	ran := map[string]string{} // by id: what the node was told, and when
	for shard := range shards {
		list.Targets = append(list.Targets, c.StartNode(fmt.Sprintf("s-%08x", shard+1), shard, 0,
			func(nc *stand2.NodeConn, r *stand2.Request) {
				told, _ := strconv.Atoi(r.Header["request-timeout-ms"])
				mu.Lock()
				ran[r.ID()] = fmt.Sprintf("at %.4f, told %d ms", time.Since(c.Began).Seconds(), told)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				nc.Write(stand2.Answer(200, "", []byte("data for "+r.ID())))
				c.Log("node %d ran %s, told %d ms", shard, r.ID(), told)
			}).Target)
	}
	agent := c.StartAgent(list)
	limits := stand2.Limits()
	host := c.StartHost("n0", c.FreeAddress(), agent.Addr, stand2.Settings(1), limits, stand2.Known(list))
	client := &stand2.Client{Addr: host.Listen}
	end := time.Now().Add(length)
	if c.Trouble {
		go func() {
			for time.Sleep(pause / 2); time.Now().Before(end); time.Sleep(pause) {
				c.Log("%d connections are opened that say nothing", silent)
				for range silent {
					go stayOpen(host.Listen)
				}
			}
		}()
	}
	var wg sync.WaitGroup
	sent, inTime, shut, lost, waiting, most := 0, 0, 0, 0, 0, 0
	worst := time.Duration(0)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		shard := rand.Intn(shards)
		k := &stand2.Call{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: "record-read", Plan: "standard", Volume: fmt.Sprintf("%016x", shard+1),
			Item: fmt.Sprintf("%016x", rand.Uint64()), Shard: shard, Units: 1, Patience: patience,
			Timeout: shortest + time.Duration(rand.Int63n(int64(longest-shortest)))}
		sent++
		mu.Lock()
		waiting++
		most = max(most, waiting)
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			client.Do(k)
			mu.Lock()
			defer mu.Unlock()
			waiting--
			took := k.EndedAt.Sub(k.SentAt)
			c.Log("client: %s sent at %.4f: status %d after %v, first on its connection %v, closed without a byte %v, %v",
				k.ID, k.SentAt.Sub(c.Began).Seconds(), k.Status, took, k.First, k.Silent, k.Err)
			switch {
			case k.Status != 0 && took <= k.Timeout+answerBy+slack:
				inTime++
			case k.Status == 0 && k.Silent: // it may be shut unread, and then it has failed
				shut++
			default:
				lost++
				worst = max(worst, took)
				c.Log("BROKEN: %s had its final answer (status %d) %v after it was sent, its time being %v; at the node: %s",
					k.ID, k.Status, took, k.Timeout, ran[k.ID])
			}
		}()
	}
	wg.Wait()
	text := fmt.Sprintf("%d requests, at most %d at a time, %d answered in time, %d shut unread, %d lost (the latest answer after %v)",
		sent, most, inTime, shut, lost, worst)
	switch {
	case most > limits["sockets"].(int)/3: // the usual clients hold at most a third of the descriptors
		c.End(stand2.NotRun, text)
	case lost > 0:
		c.End(stand2.Broken, text)
	}
	c.End(stand2.Held, text)
}

// stayOpen opens a connection, sends nothing, and leaves when the host closes it or after silentFor.
func stayOpen(addr string) {
	conn, err := net.DialTimeout("tcp", addr, silentFor)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(silentFor))
	_, _ = conn.Read(make([]byte, 1))
}
