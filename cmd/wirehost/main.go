// Command wirehost runs controllers on the bench's line protocol: batches of
// events on standard input, a reply for each on standard output. Each instance
// has a controller of its own; they share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"eiderhold/control"
	"eiderhold/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// instance is one host: its controller, and its events of the present batch.
type instance struct {
	name       string
	controller *control.Controller
	events     []control.Event
	queued     bool
}

// host holds the instances of this process.
type host struct {
	instances map[string]*instance
	active    []*instance // those with events in this batch, in order
	clock     time.Duration
	reply     []byte
}

// serve answers batches until the input ends.
func serve(in io.Reader, out, log io.Writer) error {
	reader, writer := wire.NewReader(in), bufio.NewWriter(out)
	h := &host{instances: map[string]*instance{}}
	batch := ""
	for {
		m, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch m.Kind {
		case wire.KindBatch:
			h.clock, batch, h.reply = m.Clock, m.Batch, h.reply[:0]
		case wire.KindStart:
			h.start(m)
		case wire.KindStop:
			h.stop(m.Instance)
		case wire.KindEvent:
			h.event(m)
		case wire.KindUnknown:
			fmt.Fprintf(log, "wirehost: message %s is unknown and passed over\n", m.Name)
		case wire.KindEnd:
			h.finish()
			if _, err := writer.Write(wire.AppendReady(h.reply, batch)); err != nil {
				return err
			}
			if err := writer.Flush(); err != nil {
				return err
			}
		}
	}
}

// start brings an instance up, empty.
func (h *host) start(m wire.Message) {
	h.stop(m.Instance)
	set, err := wire.Settings(m.Setup)
	var c *control.Controller
	if err == nil {
		c, err = control.New(set, m.Seed)
	}
	if err != nil {
		h.reply = wire.AppendFault(h.reply, m.Instance, err.Error())
		return
	}
	h.instances[m.Instance] = &instance{name: m.Instance, controller: c}
}

// stop throws away all that an instance knew.
func (h *host) stop(name string) {
	if i := h.instances[name]; i != nil {
		i.controller = nil
		delete(h.instances, name)
	}
}

func (h *host) event(m wire.Message) {
	i := h.instances[m.Instance]
	if i == nil {
		return
	}
	if !i.queued {
		i.queued = true
		h.active = append(h.active, i)
	}
	i.events = append(i.events, m.Event)
}

// finish lets every instance with events decide.
func (h *host) finish() {
	for _, i := range h.active {
		if i.controller != nil {
			h.decide(i)
		}
		i.events, i.queued = i.events[:0], false
	}
	h.active = h.active[:0]
}

// decide appends an instance's actions. A panic in the controller is reported
// as that instance's fault, and the instance is gone.
func (h *host) decide(i *instance) {
	defer func() {
		if p := recover(); p != nil {
			h.reply = wire.AppendFault(h.reply, i.name, fmt.Sprint(p))
			h.stop(i.name)
		}
	}()
	for _, a := range i.controller.Step(h.clock, i.events) {
		h.reply = wire.AppendAction(h.reply, i.name, a)
	}
}
