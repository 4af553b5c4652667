package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/callstore"
	"olivebridge/internal/fleet/fleetfile"
	"olivebridge/internal/protocol"
)

// orderConfig returns a configuration whose only class is the named one.
func orderConfig(class string, idempotency balancer.Idempotency) *protocol.Config {
	return &protocol.Config{
		Settings:  balancer.Settings{Classes: []balancer.Class{{Idempotency: idempotency}}},
		NameIndex: protocol.NameIndex{Classes: map[string]int{class: 0}},
	}
}

// TestReloadChangesIdempotency guards against a stored call that runs again after its node is lost, because the store
// still has the idempotency that the class had when the process started.
func TestReloadChangesIdempotency(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("[member]\nfleet = \"f\"\nlisten = \"127.0.0.1:7946\"\njoin = [\"127.0.0.1:7946\"]\n"+
		"zone = \"a\"\ndirectory = %q\n[work]\nclasses = [\"order\"]\nkeepers = [\"n1\"]\n", t.TempDir())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(protocol.EnvFleet, path)
	file, err := fleetfile.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	before, err := newIdempotentClasses(file.Work.Classes, orderConfig("order", balancer.Idempotent))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleetNode{file: file, calls: &callStore{service: callstore.New(callstore.Config{Name: "n1"})}}
	f.calls.idempotent.Store(&before)
	if err := f.Reload(orderConfig("other", balancer.NonIdempotent)); err == nil || !f.calls.isIdempotent(0) {
		t.Errorf("reload without the stored class: error %v, want one and no change", err)
	}
	if err := f.Reload(orderConfig("order", balancer.NonIdempotent)); err != nil || f.calls.isIdempotent(0) {
		t.Errorf("after a reload to a class that must not run twice: idempotent %v, error %v", f.calls.isIdempotent(0), err)
	}
}
