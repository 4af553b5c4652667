package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"olivebridge/internal/wire"
)

// inputBufferSize is in bytes.
const inputBufferSize = 64 << 10

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	a := newAdapter()
	reader := bufio.NewReaderSize(in, inputBufferSize)
	for {
		err := a.batch.Read(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(out); err != nil {
			return err
		}
	}
}

// adapter holds the instances of one process. They share the buffers of the wire and nothing else.
type adapter struct {
	batch     wire.Frame
	reply     wire.Reply
	instances map[uint32]*instance
}

func newAdapter() *adapter {
	return &adapter{instances: map[uint32]*instance{}}
}

func (a *adapter) handleBatch(out io.Writer) error {
	for i := range a.batch.Count {
		if err := a.handle(a.batch.Event(i)); err != nil {
			return err
		}
	}
	if err := a.reply.Write(out, a.batch.Number); err != nil {
		return fmt.Errorf("batch %d: writing the reply: %w", a.batch.Number, err)
	}
	return nil
}

// handle gives one event to its instance.
func (a *adapter) handle(event wire.Event) error {
	number := event.Instance()
	return a.recoverPanic(number, func() error { return a.dispatch(number, event) })
}

// guard reports a panic as a fault of one instance, which ignores all further events.
func (a *adapter) recoverPanic(number uint32, handle func() error) error {
	defer func() {
		if reason := recover(); reason != nil {
			a.reply.ReportFault(number, fmt.Sprint("panic: ", reason))
			a.instances[number] = &instance{number: number, reply: &a.reply}
		}
	}()
	return handle()
}

func (a *adapter) dispatch(number uint32, event wire.Event) error {
	if event.Code() == wire.EventStart {
		return a.start(number, event)
	}
	i := a.instances[number]
	if i == nil {
		return fmt.Errorf("batch %d: event %d for unknown instance %d", a.batch.Number, event.Code(), number)
	}
	if event.Code() == wire.EventStop {
		delete(a.instances, number)
		return nil
	}
	handled, err := i.handle(a.batch.Clock, event)
	if !handled {
		return fmt.Errorf("batch %d: unknown event code %d for instance %d", a.batch.Number, event.Code(), number)
	}
	return err
}

// start begins an instance, in place of the one that had its number. Settings that cannot be used are its fault.
func (a *adapter) start(number uint32, event wire.Event) error {
	text, err := event.Settings()
	if err != nil {
		return err
	}
	i := &instance{number: number, reply: &a.reply}
	a.instances[number] = i
	if err := i.start(text, event.Seed(), a.batch.Clock); err != nil {
		a.reply.ReportFault(number, err.Error())
	}
	return nil
}
