package http

// What one connection may use before others are served. A connection that sends many requests at once gets one of them
// read when its bytes arrive or an answer is written. The others wait in a queue of connections, in which each gets the
// same share, and between two rounds the event loop serves all other connections.
const (
	messagesPerRound = 64 // requests read in a round, of all connections in the queue
	messagesPerConn  = 4  // of them, of one connection
)

// schedule adds a connection to the queue of those with further requests to read.
func (f *Front) schedule(c *conn) {
	if c.scheduled {
		return
	}
	c.scheduled = true
	f.stats.Deferred++
	f.ready = append(f.ready, c)
	f.scheduleRound()
}

// scheduleRound schedules the next round, unless that is done.
func (f *Front) scheduleRound() {
	if !f.roundScheduled {
		f.roundScheduled = true
		f.opt.Loop.PostNext(f.readScheduled)
	}
}

// readScheduled reads requests of the connections in the queue, for one round.
func (f *Front) readScheduled() {
	queue := f.ready
	f.ready, f.roundScheduled = nil, false
	left := messagesPerRound
	for i, c := range queue {
		if left <= 0 {
			f.ready = append(queue[i:], f.ready...)
			f.scheduleRound()
			return
		}
		c.scheduled = false
		left -= c.process(messagesPerConn)
	}
}
