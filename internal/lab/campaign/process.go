package campaign

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// quitTimeout is the duration for which a worker may write the stacks of its goroutines before
// it is killed. It also bounds the wait for a worker's output after it has exited.
const quitTimeout = 5 * time.Second

// process is the parent's side of a worker process.
type process struct {
	cmd      *exec.Cmd
	jobs     io.WriteCloser
	replies  chan reply // closed when the worker closes its end of the pipe
	output   *outputBuffer
	readers  sync.WaitGroup // goroutines that read the trace and the replies
	jobCount int
}

// start starts a worker process.
func (p *Pool) start() (w *process, err error) {
	command := p.Command
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, fmt.Errorf("finding the program: %w", err)
		}
		command = []string{self, "worker"}
	}
	w = &process{cmd: exec.Command(command[0], command[1:]...), replies: make(chan reply), output: &outputBuffer{}}
	w.cmd.Env = append(os.Environ(), "GOMAXPROCS="+p.maxProcs())
	// An interrupt at the terminal must reach only the parent.
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	w.cmd.WaitDelay = quitTimeout
	w.cmd.Stdout, w.cmd.Stderr = w.output, w.output
	if p.Log != nil {
		w.cmd.Stderr = io.MultiWriter(w.output, p.Log)
	}
	if w.jobs, err = w.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	replies, traces, err := w.openPipes(p.Trace)
	if err != nil {
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	err = w.cmd.Start()
	for _, theirs := range w.cmd.ExtraFiles {
		theirs.Close()
	}
	if err != nil {
		replies.Close()
		traces.Close()
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	w.readers.Go(func() { w.readReplies(replies) })
	w.readers.Go(func() {
		defer traces.Close()
		if p.Trace != nil {
			io.Copy(p.Trace, traces) // if p.Trace no longer accepts writes, the command fails at its next write
		}
	})
	return w, nil
}

// openPipes opens the worker's extra files, replyFD and traceFD, and returns the parent's ends.
func (w *process) openPipes(trace io.Writer) (replies, traces *os.File, err error) {
	replies, theirs, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	w.cmd.ExtraFiles = []*os.File{theirs}
	traces, theirs, err = os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	w.cmd.ExtraFiles = append(w.cmd.ExtraFiles, theirs)
	return replies, traces, nil
}

// readReplies passes the worker's replies to w.replies until the worker closes its end.
func (w *process) readReplies(replies *os.File) {
	defer close(w.replies)
	defer replies.Close()
	for decoder := json.NewDecoder(replies); ; {
		var r reply
		if decoder.Decode(&r) != nil {
			return
		}
		w.replies <- r
	}
}

// play sends a job to the worker and waits for its reply. If alive is false, the worker process
// has ended and has been waited for.
func (w *process) play(ctx context.Context, j Job, timeout time.Duration) (o Outcome, alive bool) {
	start := time.Now()
	defer func() { o.RealTime = time.Since(start) }()
	w.jobCount++
	if err := json.NewEncoder(w.jobs).Encode(j); err != nil {
		w.stop() // the worker was dead already: its output has the reason
		return crashOutcome(j, RuleCrash, "worker ended: "+w.output.digest(), w.output.String()), false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r, ok := <-w.replies:
		switch {
		case !ok:
			w.stop()
			return crashOutcome(j, RuleCrash, w.output.digest(), w.output.String()), false
		case r.Error != "":
			return Outcome{Job: j, Err: errors.New(r.Error)}, true
		case r.Result == nil || r.ID != j.ID:
			w.kill()
			return Outcome{Job: j, Err: fmt.Errorf("invalid reply of a worker to job %d", j.ID)}, false
		}
		return Outcome{Job: j, Result: *r.Result}, true
	case <-timer.C:
		w.dumpAndStop()
		what := fmt.Sprintf("no end within %v of real time: %s", timeout, w.output.digest())
		return crashOutcome(j, RuleHang, what, w.output.String()), false
	case <-ctx.Done():
		w.kill()
		return Outcome{Job: j, Err: ctx.Err()}, false
	}
}

// stop closes the worker's input and waits until the worker has exited.
func (w *process) stop() {
	w.jobs.Close()
	w.wait()
}

// dumpAndStop makes the worker write the stacks of its goroutines and exit; it is killed after
// quitTimeout.
func (w *process) dumpAndStop() {
	w.cmd.Process.Signal(syscall.SIGQUIT)
	timer := time.AfterFunc(quitTimeout, func() { w.cmd.Process.Kill() })
	defer timer.Stop()
	w.wait()
}

// kill kills the worker and waits until it is gone.
func (w *process) kill() {
	w.cmd.Process.Kill()
	w.wait()
}

// wait returns when the worker has exited and all of its output has been read.
func (w *process) wait() {
	for range w.replies { // drop late replies
	}
	w.readers.Wait()
	w.cmd.Wait() // the worker's output has the reason of its exit
	w.jobs.Close()
}
