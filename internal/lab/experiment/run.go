package experiment

import (
	"context"

	"olivebridge/internal/lab/report"
	"olivebridge/internal/lab/sample"
)

// Progress is the progress of a run.
type Progress struct {
	At, Length float64 // seconds of the run
	Asked      int     // number of requests so far
	Worth      float64 // earned share of the possible worth so far
}

// Run plays a plan on a runner and returns the report. onProgress is called about
// once per second of the run's time; it may be nil.
func (p *Plan) Run(ctx context.Context, runner Runner, onProgress func(Progress)) (*report.Report, error) {
	rec := newRecorder(p)
	var to sample.Sink = rec
	if onProgress != nil {
		to = &progressSink{recorder: rec, onProgress: onProgress}
	}
	result, err := runner.Run(ctx, p.Script, to)
	if err != nil {
		return nil, err
	}
	r := rec.report()
	r.Clock, r.Broken = result.Clock, result.Broken
	p.Experiment.evaluateAsserts(r)
	r.Conclude()
	return r, nil
}

// progressSink is a recorder that reports the progress of the run.
type progressSink struct {
	*recorder
	onProgress func(Progress)
	nextAt     float64 // instant of the next call of onProgress, in seconds
}

// Reading implements sample.Sink.
func (t *progressSink) Reading(r sample.Reading) {
	t.recorder.Reading(r)
	if at := r.At.Seconds(); at >= t.nextAt {
		t.nextAt = at + 1
		t.onProgress(t.progress(at))
	}
}
