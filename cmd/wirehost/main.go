// Command wirehost runs controllers over the line protocol of the simulator: it reads batches of events from
// standard input and writes a reply to each batch to standard output. Each instance has its own controller;
// instances share no state.
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

// instance is one simulated host: its controller and its events in the current batch.
type instance struct {
	name       string
	controller *control.Controller
	events     []control.Event
	queued     bool // it is in host.active
}

// host holds the instances of this process.
type host struct {
	instances map[string]*instance
	active    []*instance // instances with events in this batch, in order of their first event
	clock     time.Duration
	reply     []byte
}

// serve processes batches until the input ends.
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
			fmt.Fprintf(log, "wirehost: message %s is unknown and is ignored\n", m.Name)
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

// start creates an instance with a new controller. It replaces a running instance of the same name.
func (h *host) start(m wire.Message) {
	h.stop(m.Instance)
	settings, err := wire.ParseSettings(m.Settings)
	var c *control.Controller
	if err == nil {
		c, err = control.New(settings, m.Seed)
	}
	if err != nil {
		h.reply = wire.AppendInternalError(h.reply, m.Instance, err.Error())
		return
	}
	h.instances[m.Instance] = &instance{name: m.Instance, controller: c}
}

// stop discards an instance and its state.
func (h *host) stop(name string) {
	if i := h.instances[name]; i != nil {
		i.controller = nil
		delete(h.instances, name)
	}
}

// event adds an event to its instance's part of the batch. It drops events for unknown instances.
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

// finish runs the controllers of all instances with events in this batch.
func (h *host) finish() {
	for _, i := range h.active {
		if i.controller != nil {
			h.decide(i)
		}
		i.events, i.queued = i.events[:0], false
	}
	h.active = h.active[:0]
}

// decide runs an instance's controller and appends its actions to the reply. A panic in the controller is
// reported as an internal error of that instance, and the instance is removed.
func (h *host) decide(i *instance) {
	defer func() {
		if p := recover(); p != nil {
			h.reply = wire.AppendInternalError(h.reply, i.name, fmt.Sprint(p))
			h.stop(i.name)
		}
	}()
	for _, a := range i.controller.Step(h.clock, i.events) {
		h.reply = wire.AppendAction(h.reply, i.name, a)
	}
}
