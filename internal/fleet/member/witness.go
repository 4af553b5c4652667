package member

import (
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// A witness report is requested over a stream of witnessChannel. The request is a JSON list of member names, and the
// answer is a JSON list of those that the witness does not reach either. The stream ends after the answer.

const (
	// witnessChannel is the channel of the streams for witness reports.
	witnessChannel = 250
	// witnessTimeout limits the time for a witness report. The witness may need a round of its own probes of all the
	// members that may have failed.
	witnessTimeout = 6 * time.Second
	// maxWitnessMessage is the maximum length of a request or report, in bytes of JSON.
	maxWitnessMessage = MaxMembers * 70
)

// askWitnesses asks up to maxWitnesses of the members that answered which of the silent members they do not reach
// either. It leaves out witnesses that return no report.
func (d *massFailureDetector) askWitnesses(silent, answered []string) (reports [][]string) {
	service := d.agent.service
	view := service.View()
	var mu sync.Mutex
	var requests sync.WaitGroup
	asked := 0
	for _, name := range rotateFrom(answered, service.config.Name) {
		m, _ := view.Lookup(name)
		if asked == maxWitnesses || !m.State.Present() {
			continue
		}
		asked++
		requests.Go(func() {
			report, err := d.askWitness(m.Addr, silent)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	requests.Wait()
	return reports
}

// rotateFrom returns the sorted names, starting with the first one after the node's own, so that different nodes ask
// different witnesses.
func rotateFrom(names []string, own string) []string {
	i, _ := slices.BinarySearch(names, own)
	return slices.Concat(names[i:], names[:i])
}

// askWitness requests a witness report from the member at an address.
func (d *massFailureDetector) askWitness(addr string, silent []string) (report []string, err error) {
	conn, err := d.agent.transport.dial(addr, witnessChannel, streamTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(witnessTimeout))
	if err := json.NewEncoder(conn).Encode(silent); err != nil {
		return nil, err
	}
	err = json.NewDecoder(io.LimitReader(conn, maxWitnessMessage)).Decode(&report)
	return report, err
}

// serveWitness answers a request for a witness report.
func (d *massFailureDetector) serveWitness(conn net.Conn) {
	if !d.ready.Load() {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(witnessTimeout))
	var names []string
	err := json.NewDecoder(io.LimitReader(conn, maxWitnessMessage)).Decode(&names)
	if err != nil || len(names) > MaxMembers {
		d.agent.service.counters.rejected.Add(1)
		return
	}
	now := time.Now()
	report, unknown := d.recentResults(names, now)
	if len(unknown) > 0 {
		silent := d.probe(unknown, now, probeAttempts)
		d.rememberSilent(silent)
		report = append(report, silent...)
	}
	_ = json.NewEncoder(conn).Encode(report) // after an error the requester finds the stream ended
}

// recentResults splits names into the members found silent within probeResultTTL, and the unknown ones that have to be
// probed. This node, and members from which something was received within probeResultTTL, are in neither.
func (d *massFailureDetector) recentResults(names []string, now time.Time) (silent, unknown []string) {
	silent = []string{}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		at, found := d.silentAt[name]
		switch {
		case name == d.agent.service.config.Name:
		case d.agent.transport.lastReceivedFrom(name).After(now.Add(-probeResultTTL)):
		case found && now.Sub(at) < probeResultTTL:
			silent = append(silent, name)
		default:
			unknown = append(unknown, name)
		}
	}
	return silent, unknown
}
