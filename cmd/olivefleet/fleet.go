package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/admin"
	"olivebridge/internal/fleet/budget"
	"olivebridge/internal/fleet/choices"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/operations"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/fleet/signals"
	"olivebridge/internal/fleet/subset"
	"olivebridge/internal/node"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// company is the node's part in its fleet, as a node sees it.
type company struct {
	*member.Service
	file    *fleetfile.File
	budgets *budget.Service // nil: there are none
	places  []int           // of each tenant's budget in the list; -1: it has none
	retries int             // the place of the one for retries; -1: there is none
	cold    int             // of the one for cold peers
	choices *choices.Service
	signals *signals.Service    // nil: nodes tell each other nothing of peers
	kept    *kept               // nil: no call is kept
	rounds  *operations.Service // nil: operators' calls are for one node each
}

// enter reads the fleet file and makes the node's part.
func enter(c *protocol.Config, log *slog.Logger) (node.Fleet, error) {
	f, err := fleetfile.Load(os.Getenv(protocol.EnvFleet))
	if err != nil {
		return nil, err
	}
	m := f.Member
	config := member.Config{Name: c.Name, Zone: m.Zone, Fleet: m.Fleet, Join: m.Join, Directory: m.Directory, Log: log,
		Listen: netip.MustParseAddrPort(m.Listen), Advertise: netip.MustParseAddrPort(m.Advertise)} // the file was checked
	if m.Record != "" {
		if config.Record, err = record.Open(m.Record, c.Name); err != nil {
			return nil, err
		}
	}
	all := &company{file: f, retries: -1, cold: -1}
	if len(f.Budgets) > 0 {
		if err := all.budget(c, f, &config); err != nil {
			return nil, err
		}
	}
	if len(f.Work.Classes) > 0 {
		if all.kept, err = all.keep(c, f, &config); err != nil {
			return nil, err
		}
	}
	if len(f.Operators.Voters) > 0 {
		all.operators(c, &config)
	}
	if f.Choices.Witnesses > 0 {
		all.signal(c.Name, &config)
	}
	all.Service = member.New(config)
	all.choices = choices.New(choices.Config{Name: c.Name, Signals: all.signals, Plan: subset.Plan{Copies: f.Choices.Copies, MinServers: f.Choices.Least},
		Zones: c.NameIndex.Zones, Next: all.Service.Next, Log: log, Record: config.Record})
	return all, nil
}

// operators makes the node's part in operators' work over the whole fleet.
func (f *company) operators(c *protocol.Config, m *member.Config) {
	o := f.file.Operators
	f.rounds = operations.New(operations.Config{Name: c.Name, Voters: raftlog.VoterSet{Edition: o.Edition, Names: o.Voters},
		Directory: m.Directory, Log: m.Log, Record: m.Record, View: func() *member.View { return f.Service.View() },
		Others: func() []string { return f.Service.KnownAddrs() },
		DialAddr: func(addr string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.Service.DialAddr(addr, channel, timeout)
		},
		Dial: func(name string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.Service.Dial(name, channel, timeout)
		}})
	f.around(m, func(i member.Incarnation) { f.rounds.Start(i.String()) }, f.rounds.Stop)
	f.serve(m, operations.VotersChannel, f.rounds.ServeVoters)
	f.serve(m, operations.NodesChannel, f.rounds.ServeNodes)
}

// serve has a channel of the members' streams served.
func (f *company) serve(m *member.Config, channel byte, by func(net.Conn, string)) {
	if m.Channels == nil {
		m.Channels = map[byte]func(net.Conn, string){}
	}
	m.Channels[channel] = by
}

// Operate implements node.Fleet.
func (f *company) Operate(d node.ServerControl) {
	if f.rounds != nil {
		f.rounds.Attach(d)
	}
}

// Do implements node.Fleet.
func (f *company) Do(words []string) (string, error) {
	if f.rounds == nil {
		return "", admin.UnknownCommandError(admin.Fleet)
	}
	return f.rounds.Execute(words)
}

// signal makes the node's part in telling of peers.
func (f *company) signal(name string, m *member.Config) {
	f.signals = signals.New(signals.Config{Name: name, Witnesses: f.file.Choices.Witnesses, Record: m.Record,
		Broadcast: func(from string, word []byte) { f.Service.Broadcast(from, word) },
		Present: func(name string) bool {
			who, known := f.Service.View().Lookup(name)
			return known && who.State.Present()
		}})
	m.OnMessage = func(word []byte) { f.signals.Receive(word) }
	f.around(m, func(i member.Incarnation) { f.signals.Start(i.String()) }, f.signals.Stop)
}

// around has one more part of the node's begin and end with its place.
func (f *company) around(m *member.Config, begin func(member.Incarnation), end func()) {
	up, down := m.OnJoin, m.OnLeave
	m.OnJoin = func(i member.Incarnation) {
		if up != nil {
			up(i)
		}
		begin(i)
	}
	m.OnLeave = func() {
		if down != nil {
			down()
		}
		end()
	}
}

// budget makes the node's part in the fleet's budgets.
func (f *company) budget(c *protocol.Config, file *fleetfile.File, m *member.Config) error {
	b := budget.Config{Name: c.Name, Directory: m.Directory, Log: m.Log, Record: m.Record, Voters: raftlog.VoterSet{Edition: file.Book.Edition, Names: file.Book.Voters},
		Terms: budget.Terms{Lease: file.Book.LeaseTime, Reserve: file.Book.Reserve, Seats: file.Book.Seats},
		Dial: func(name string, channel byte, timeout time.Duration) (net.Conn, error) {
			return f.Service.Dial(name, channel, timeout)
		}}
	for range c.NameIndex.Tenants {
		f.places = append(f.places, -1)
	}
	for i, one := range file.Budgets {
		b.Quotas = append(b.Quotas, whole(one, c.LongestDeadline))
		switch one.Use {
		case fleetfile.Retries:
			f.retries = i
			continue
		case fleetfile.ColdPeers:
			f.cold = i
			continue
		}
		tenant, known := c.NameIndex.Tenants[one.Tenant]
		if !known {
			return fmt.Errorf("fleet file %s: budget %q is for tenant %q, which the configuration does not know",
				os.Getenv(protocol.EnvFleet), one.Name, one.Tenant)
		}
		f.places[tenant] = i
	}
	f.budgets = budget.New(b)
	m.OnJoin = func(i member.Incarnation) { f.budgets.Start(i.Home, i.Number) }
	m.OnLeave = f.budgets.Stop
	f.serve(m, budget.VotersChannel, f.budgets.ServeVoters)
	f.serve(m, budget.HolderChannel, f.budgets.ServeHolders)
	return nil
}

// holdSpare is for how much longer than its client waits a call may be in use at a peer.
const holdSpare = 2 * time.Second

// whole is a budget as the file has it.
func whole(b fleetfile.Budget, longest time.Duration) budget.Quota {
	w := budget.Quota{Name: b.Name, Kind: budget.Kind(b.Kind), Amount: b.Rate, Burst: b.Burst}
	switch w.Kind {
	case budget.InUse:
		w.Amount, w.Hold = float64(b.Most), longest+holdSpare
	case budget.Count:
		w.Amount, w.Period = float64(b.Count), b.PeriodTime
	}
	return w
}

// Reload implements node.Fleet: amounts of budgets may change in a running node, and nothing else.
func (f *company) Reload(c *protocol.Config) error {
	path := os.Getenv(protocol.EnvFleet)
	next, err := fleetfile.Load(path)
	if err != nil {
		return err
	}
	if what := f.file.ImmutableChange(next); what != "" {
		return fmt.Errorf("fleet file %s: %s cannot change in a running node", path, what)
	}
	f.file = next
	if f.kept != nil {
		f.kept.work.SetVoters(raftlog.VoterSet{Edition: next.Work.Edition, Names: next.Work.Voters})
	}
	if f.rounds != nil {
		f.rounds.SetVoters(raftlog.VoterSet{Edition: next.Operators.Edition, Names: next.Operators.Voters})
	}
	if f.budgets == nil {
		return nil
	}
	f.budgets.SetVoters(raftlog.VoterSet{Edition: next.Book.Edition, Names: next.Book.Voters})
	var wholes []budget.Quota
	for _, one := range next.Budgets {
		wholes = append(wholes, whole(one, c.LongestDeadline))
	}
	f.budgets.SetQuotas(wholes)
	return nil
}

// Chooser implements node.Fleet.
func (f *company) Chooser() routing.SubsetSelector { return f.choices }

// Left implements node.Fleet.
func (f *company) Left() {
	f.Service.Left()
	f.choices.Close()
}

// Close implements node.Fleet.
func (f *company) Close() {
	f.Service.Close()
	f.choices.Close()
}

// Gate implements node.Fleet.
func (f *company) Gate() routing.AdmissionControl {
	if f.budgets == nil {
		return nil
	}
	return f
}

// Admit implements routing.AdmissionControl.
func (f *company) Admit(tenant int) (bool, time.Duration) {
	if tenant < 0 || f.places[tenant] < 0 { // a request without a tenant, or whose tenant has no budget
		return true, 0
	}
	return f.budgets.Admit(f.places[tenant])
}

// AdmitRetry implements routing.AdmissionControl.
func (f *company) AdmitRetry() bool {
	if f.retries < 0 {
		return true
	}
	ok, _ := f.budgets.Admit(f.retries)
	return ok
}

// AdmitWarmUp implements routing.AdmissionControl.
func (f *company) AdmitWarmUp(peer balancer.ServerID, units float64) bool {
	return f.cold < 0 || f.budgets.AdmitKey(f.cold, uint64(peer), units)
}

// Release implements routing.AdmissionControl.
func (f *company) Release(tenant int) {
	if tenant >= 0 && f.places[tenant] >= 0 {
		f.budgets.Release(f.places[tenant])
	}
}

// Status implements node.Fleet.
func (f *company) Status() string {
	text := f.Service.Status()
	if f.budgets != nil {
		text += "; " + f.budgets.Status()
	}
	text += "; " + f.choices.Status()
	if f.kept != nil {
		text += "; " + f.kept.work.Status()
	}
	if f.rounds != nil {
		text += "; " + f.rounds.Status()
	}
	return text
}

// Counters implements node.Fleet.
func (f *company) Counters() string {
	text := f.Service.Counters()
	if f.budgets != nil {
		text += " " + f.budgets.Counters()
	}
	if f.rounds != nil {
		text += " " + f.rounds.Counters()
	}
	if f.signals != nil {
		text += " " + f.signals.Counters()
	}
	if f.kept != nil {
		text += " " + f.kept.work.Counters()
	}
	return text
}
