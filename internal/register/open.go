package register

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// EventStream is an open event stream of a server.
type EventStream struct {
	*Stream
	ctx          context.Context
	cancel       context.CancelCauseFunc
	body         io.Closer
	silenceTimer *time.Timer
}

// Open requests the stream at streamURL for the named gateway, resuming after the event lastID (empty: from
// the start). The stream ends if no data comes within silenceTimeout, after Cancel, and when ctx is done.
func Open(ctx context.Context, client *http.Client, streamURL, gateway, lastID string, silenceTimeout time.Duration) (*EventStream, error) {
	u, err := url.Parse(streamURL)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	q := u.Query()
	q.Set("gateway", gateway)
	u.RawQuery = q.Encode()
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		cancel(nil)
		return nil, fmt.Errorf("register: %w", err)
	}
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Cache-Control", "no-store")
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	resp, err := client.Do(req)
	if err != nil {
		cancel(nil)
		return nil, fmt.Errorf("register: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel(nil)
		_ = resp.Body.Close()
		return nil, fmt.Errorf("register: %s responded %s: expected 200 OK", u.Host, resp.Status)
	}
	o := &EventStream{ctx: ctx, cancel: cancel, body: resp.Body, silenceTimer: time.AfterFunc(silenceTimeout, func() { cancel(errSilence) })}
	o.Stream = NewStream(&activityReader{resp.Body, func() { o.silenceTimer.Reset(silenceTimeout) }}, lastID)
	return o, nil
}

// Cancel ends the stream with the given cause. It is safe to call from any goroutine.
func (o *EventStream) Cancel(cause error) { o.cancel(cause) }

// EndCause returns the cause of a stream's end, given the error that Next returned.
func (o *EventStream) EndCause(err error) error {
	if cause := context.Cause(o.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("the register closed the stream")
	}
	return fmt.Errorf("register: %w", err)
}

// Close stops the silence timer and closes the connection.
func (o *EventStream) Close() {
	o.silenceTimer.Stop()
	o.cancel(nil)
	_ = o.body.Close()
}

// activityReader calls onRead after each read that returned data.
type activityReader struct {
	io.Reader
	onRead func()
}

func (t *activityReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	if n > 0 {
		t.onRead()
	}
	return n, err
}
