package main

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"olivebridge/internal/admin"
	"olivebridge/internal/fleet/choices"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/operations"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/fleet/signals"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// fleetNode is the node's membership in its fleet, with the services that the fleet file configures.
type fleetNode struct {
	file       *fleetfile.File
	membership *member.Service
	subsets    *choices.Service
	quotas     *quotaAdmission     // nil: the fleet has no quotas
	calls      *callStore          // nil: calls are not stored
	operations *operations.Service // nil: the fleet has no commands of operators
	signals    *signals.Service    // nil: nodes do not exchange reports about servers
}

var _ node.Fleet = (*fleetNode)(nil)

// newFleetNode reads the fleet file and creates the node's services. None of them runs before Join.
func newFleetNode(c *protocol.Config, log *slog.Logger) (node.Fleet, error) {
	file, err := fleetfile.Load(os.Getenv(protocol.EnvFleet))
	if err != nil {
		return nil, err
	}
	config, err := newMemberConfig(c, file.Member, log)
	if err != nil {
		return nil, err
	}
	f := &fleetNode{file: file}
	if len(file.Budgets) > 0 {
		if err := f.addQuotas(c, &config); err != nil {
			return nil, err
		}
	}
	if len(file.Work.Classes) > 0 {
		if err := f.addCallStore(c, &config); err != nil {
			return nil, err
		}
	}
	if len(file.Operators.Voters) > 0 {
		f.addOperations(c.Name, &config)
	}
	if file.Choices.Witnesses > 0 {
		f.addSignals(c.Name, &config)
	}
	f.membership = member.New(config)
	f.subsets = f.newSubsets(c, &config)
	return f, nil
}

// newMemberConfig returns the configuration of the membership, and opens the record if the fleet file names one.
func newMemberConfig(c *protocol.Config, file fleetfile.Member, log *slog.Logger) (member.Config, error) {
	config := member.Config{
		Name:      c.Name,
		Zone:      file.Zone,
		Fleet:     file.Fleet,
		Join:      file.Join,
		Directory: file.Directory,
		Log:       log,
		Listen:    netip.MustParseAddrPort(file.Listen), // fleetfile has checked both addresses
		Advertise: netip.MustParseAddrPort(file.Advertise),
	}
	if file.Record == "" {
		return config, nil
	}
	var err error
	config.Record, err = record.Open(file.Record, c.Name)
	return config, err
}

// addChannel registers the function that serves a channel of the streams between members.
func addChannel(config *member.Config, channel byte, serve func(conn net.Conn, from string)) {
	if config.Channels == nil {
		config.Channels = map[byte]func(net.Conn, string){}
	}
	config.Channels[channel] = serve
}

// addService makes a service start after this process has acquired the node's membership and stop before it gives the
// membership up. A service starts and stops after those that were added before it.
func addService(config *member.Config, start func(member.Incarnation), stop func()) {
	startPrevious := config.OnJoin
	stopPrevious := config.OnLeave
	config.OnJoin = func(i member.Incarnation) {
		if startPrevious != nil {
			startPrevious(i)
		}
		start(i)
	}
	config.OnLeave = func() {
		if stopPrevious != nil {
			stopPrevious()
		}
		stop()
	}
}

// dial opens a stream to another member. It is a method because the services are created before the membership.
func (f *fleetNode) dial(name string, channel byte, timeout time.Duration) (net.Conn, error) {
	return f.membership.Dial(name, channel, timeout)
}

// Join implements node.Fleet.
func (f *fleetNode) Join(wait bool) error { return f.membership.Join(wait) }

// Release implements node.Fleet.
func (f *fleetNode) Release() { f.membership.Release() }

// AnnounceLeave implements node.Fleet.
func (f *fleetNode) AnnounceLeave() { f.membership.AnnounceLeave() }

// maxReportWait limits the time for which a process that leaves the fleet continues to report on its calls. It covers
// one retry of each report.
const maxReportWait = 2 * time.Second

// Leave implements node.Fleet.
func (f *fleetNode) Leave() {
	if f.calls != nil {
		f.calls.service.WaitForReports(maxReportWait) // needs the membership, or the grace period after its release
	}
	f.membership.Leave()
	f.subsets.Close()
}

// Close implements node.Fleet.
func (f *fleetNode) Close() {
	f.membership.Close()
	f.subsets.Close()
}

// AdmissionControl implements node.Fleet.
func (f *fleetNode) AdmissionControl() routing.AdmissionControl {
	if f.quotas == nil {
		return nil
	}
	return f.quotas
}

// IdempotencyStore implements node.Fleet.
func (f *fleetNode) IdempotencyStore() transport.IdempotencyStore {
	if f.calls == nil {
		return nil
	}
	return f.calls
}

// SubsetSelector implements node.Fleet.
func (f *fleetNode) SubsetSelector() routing.SubsetSelector { return f.subsets }

// SetServerControl implements node.Fleet.
func (f *fleetNode) SetServerControl(control node.ServerControl) {
	if f.operations != nil {
		f.operations.Attach(control)
	}
}

// Execute implements node.Fleet.
func (f *fleetNode) Execute(words []string) (string, error) {
	if f.operations == nil {
		return "", admin.UnknownCommandError(admin.Fleet)
	}
	return f.operations.Execute(words)
}

// Status implements node.Fleet.
func (f *fleetNode) Status() string {
	status := f.membership.Status()
	if f.quotas != nil {
		status += "; " + f.quotas.service.Status()
	}
	status += "; " + f.subsets.Status()
	if f.calls != nil {
		status += "; " + f.calls.service.Status()
	}
	if f.operations != nil {
		status += "; " + f.operations.Status()
	}
	return status
}

// Counters implements node.Fleet.
func (f *fleetNode) Counters() string {
	counters := f.membership.Counters()
	if f.quotas != nil {
		counters += " " + f.quotas.service.Counters()
	}
	if f.operations != nil {
		counters += " " + f.operations.Counters()
	}
	if f.signals != nil {
		counters += " " + f.signals.Counters()
	}
	if f.calls != nil {
		counters += " " + f.calls.service.Counters()
	}
	return counters
}
