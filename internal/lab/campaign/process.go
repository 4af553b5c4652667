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

// lastBreath is how long a worker may take to write down its goroutines before it is killed.
const lastBreath = 5 * time.Second

// process is a worker process, seen from its parent.
type process struct {
	cmd     *exec.Cmd
	jobs    io.WriteCloser
	replies chan reply // closed once the worker has ended its side
	said    *lastWords
	copying sync.WaitGroup // of the trace and of the replies
	played  int
}

// start starts a worker.
func (p *Pool) start() (w *process, err error) {
	command := p.Command
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, fmt.Errorf("finding the program: %w", err)
		}
		command = []string{self, "worker"}
	}
	w = &process{cmd: exec.Command(command[0], command[1:]...), replies: make(chan reply), said: &lastWords{}}
	w.cmd.Env = append(os.Environ(), "GOMAXPROCS="+p.cores())
	// An interrupt at the terminal is the parent's matter.
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	w.cmd.WaitDelay = lastBreath
	w.cmd.Stdout, w.cmd.Stderr = w.said, w.said
	if p.Log != nil {
		w.cmd.Stderr = io.MultiWriter(w.said, p.Log)
	}
	if w.jobs, err = w.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	replies, traces, err := w.pipes(p.Trace)
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
	w.copying.Go(func() { w.listen(replies) })
	w.copying.Go(func() {
		defer traces.Close()
		if p.Trace != nil {
			io.Copy(p.Trace, traces) // a reader that has gone away fails the command at its next write
		}
	})
	return w, nil
}

// pipes opens what a worker has beside the usual three files, and returns the parent's ends.
func (w *process) pipes(trace io.Writer) (replies, traces *os.File, err error) {
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

// listen hands on what the worker replies until its side ends.
func (w *process) listen(replies *os.File) {
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

// play has the worker play a job. A worker that is not alive afterwards has been waited for.
func (w *process) play(ctx context.Context, j Job, patience time.Duration) (o Outcome, alive bool) {
	start := time.Now()
	defer func() { o.Real = time.Since(start) }()
	w.played++
	if err := json.NewEncoder(w.jobs).Encode(j); err != nil {
		w.stop() // it was dead already: what it said tells why
		return ended(j, RuleCrash, "worker ended: "+w.said.digest(), w.said.String()), false
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r, ok := <-w.replies:
		switch {
		case !ok:
			w.stop()
			return ended(j, RuleCrash, w.said.digest(), w.said.String()), false
		case r.Error != "":
			return Outcome{Job: j, Err: errors.New(r.Error)}, true
		case r.Result == nil || r.ID != j.ID:
			w.kill()
			return Outcome{Job: j, Err: fmt.Errorf("a worker's reply to job %d is none", j.ID)}, false
		}
		return Outcome{Job: j, Result: *r.Result}, true
	case <-timer.C:
		w.quit()
		what := fmt.Sprintf("no end within %v of real time: %s", patience, w.said.digest())
		return ended(j, RuleHang, what, w.said.String()), false
	case <-ctx.Done():
		w.kill()
		return Outcome{Job: j, Err: ctx.Err()}, false
	}
}

// stop lets the worker end by itself.
func (w *process) stop() {
	w.jobs.Close()
	w.wait()
}

// quit makes the worker write down its goroutines and end.
func (w *process) quit() {
	w.cmd.Process.Signal(syscall.SIGQUIT)
	timer := time.AfterFunc(lastBreath, func() { w.cmd.Process.Kill() })
	defer timer.Stop()
	w.wait()
}

func (w *process) kill() {
	w.cmd.Process.Kill()
	w.wait()
}

// wait returns when the worker is gone and all that it wrote has been read.
func (w *process) wait() {
	for range w.replies { // a reply that comes now is too late
	}
	w.copying.Wait()
	w.cmd.Wait() // how it ended shows in what it said
	w.jobs.Close()
}
