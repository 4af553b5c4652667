package experiment

import (
	"context"

	"olivebridge/internal/lab/report"
	"olivebridge/internal/lab/sample"
)

// Progress is how far a run has come.
type Progress struct {
	At, Length float64 // seconds of the run
	Asked      int
	Worth      float64 // share, up to now
}

// Run plays a plan and makes its report. tell, which may be nil, hears how far
// it has come, about once a second of the run.
func (p *Plan) Run(ctx context.Context, with Runner, tell func(Progress)) (*report.Report, error) {
	rec := newRecorder(p)
	var to sample.Sink = rec
	if tell != nil {
		to = &teller{recorder: rec, tell: tell}
	}
	played, err := with.Run(ctx, p.Script, to)
	if err != nil {
		return nil, err
	}
	r := rec.report()
	r.Clock, r.Broken = played.Clock, played.Broken
	p.Experiment.judge(r)
	r.Conclude()
	return r, nil
}

// teller is a recorder that says how far it has come.
type teller struct {
	*recorder
	tell func(Progress)
	next float64
}

// Reading implements sample.Sink.
func (t *teller) Reading(r sample.Reading) {
	t.recorder.Reading(r)
	if at := r.At.Seconds(); at >= t.next {
		t.next = at + 1
		t.tell(t.progress(at))
	}
}
