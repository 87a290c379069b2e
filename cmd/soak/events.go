package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/standin"
)

// events writes the events of the workers to a log and hands them to faults that wait
// for them.
type events struct {
	mu      sync.Mutex
	file    *os.File
	waiting map[chan standin.StepEvent]func(standin.StepEvent) bool
}

func newEvents(path string) (*events, error) {
	f, err := os.Create(path)
	return &events{file: f, waiting: make(map[chan standin.StepEvent]func(standin.StepEvent) bool)}, err
}

// observe takes an event.
func (e *events) observe(event standin.StepEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintln(e.file, event)
	for c, wanted := range e.waiting {
		if event.Worker != nil && wanted(event) {
			c <- event // there is room for one
			delete(e.waiting, c)
		}
	}
}

// log writes a line about a fault.
func (e *events) log(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintln(e.file, time.Now().Format("15:04:05.000"), "FAULT", text)
}

// next waits for an event of a kind, at the given worker unless it is nil, for at most
// the timeout.
func (e *events) next(ctx context.Context, kind standin.StepEventKind, at *standin.StepWorker, timeout time.Duration) (standin.StepEvent, bool) {
	c := make(chan standin.StepEvent, 1)
	e.mu.Lock()
	e.waiting[c] = func(event standin.StepEvent) bool {
		return event.Kind == kind && (at == nil || at == event.Worker)
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.waiting, c)
	}()
	select {
	case event := <-c:
		return event, true
	case <-time.After(timeout):
	case <-ctx.Done():
	}
	return standin.StepEvent{}, false
}

func (e *events) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.file.Close() // the log only explains a failed run
}
