package main

import (
	"net"
	"time"

	"olivebridge/internal/fleet/choices"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/operations"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/signals"
	"olivebridge/internal/fleet/subset"
	"olivebridge/internal/protocol"
)

// newSubsets creates the service that selects the servers with which this node works.
func (f *fleetNode) newSubsets(c *protocol.Config, m *member.Config) *choices.Service {
	return choices.New(choices.Config{
		Name:    c.Name,
		Signals: f.signals,
		Plan:    subset.Plan{Copies: f.file.Choices.Copies, MinServers: f.file.Choices.Least},
		Zones:   c.NameIndex.Zones,
		Next:    f.membership.Next,
		Log:     m.Log,
		Record:  m.Record,
	})
}

// addOperations creates the service for commands of operators to the whole fleet.
func (f *fleetNode) addOperations(name string, m *member.Config) {
	operators := f.file.Operators
	f.operations = operations.New(operations.Config{
		Name:      name,
		Voters:    raftlog.VoterSet{Edition: operators.Edition, Names: operators.Voters},
		Directory: m.Directory,
		Log:       m.Log,
		Record:    m.Record,
		View:      func() *member.View { return f.membership.View() },
		Others:    func() []string { return f.membership.KnownAddrs() },
		Dial:      f.dial,
		DialAddr: func(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.membership.DialAddr(addr, channel, timeout)
		},
	})
	addService(m, func(i member.Incarnation) { f.operations.Start(i.String()) }, f.operations.Stop)
	addChannel(m, operations.VotersChannel, f.operations.ServeVoters)
	addChannel(m, operations.NodesChannel, f.operations.ServeNodes)
}

// addSignals creates the service by which nodes report failing servers to each other.
func (f *fleetNode) addSignals(name string, m *member.Config) {
	f.signals = signals.New(signals.Config{
		Name:      name,
		Witnesses: f.file.Choices.Witnesses,
		Record:    m.Record,
		Broadcast: func(from string, message []byte) { f.membership.Broadcast(from, message) },
		Present: func(name string) bool {
			other, known := f.membership.View().Lookup(name)
			return known && other.State.Present()
		},
	})
	m.OnMessage = func(message []byte) { f.signals.Receive(message) }
	addService(m, func(i member.Incarnation) { f.signals.Start(i.String()) }, f.signals.Stop)
}
