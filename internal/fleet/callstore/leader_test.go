package callstore

import (
	"testing"
	"time"

	"olivebridge/internal/fleet/member"
)

// TestHasFailed checks which processes are considered failed, given the states and incarnations of the members.
func TestHasFailed(t *testing.T) {
	v := &member.View{Members: []member.Member{
		{Name: "alive", Incarnation: member.Incarnation{Home: "h", Number: 2}, State: member.Alive},
		{Name: "silent", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Suspect},
		{Name: "leaving", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Leaving},
		{Name: "dead", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Dead},
		{Name: "left", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Left},
	}}
	for p, want := range map[process]bool{
		{"alive", "h/2"}:     false,
		{"alive", "h/1"}:     true,
		{"alive", "h/3"}:     false,
		{"alive", "other/3"}: true,
		{"silent", "h/1"}:    false,
		{"leaving", "h/1"}:   false,
		{"dead", "h/1"}:      true,
		{"left", "h/1"}:      true,
	} {
		if got := hasFailed(v, p, time.Second); got != want {
			t.Errorf("hasFailed(%v) = %v, want the opposite", p, got)
		}
	}
	if unlisted := (process{"x", "h/1"}); hasFailed(v, unlisted, time.Second) || !hasFailed(v, unlisted, time.Minute) {
		t.Error("a process that no member lists must count as failed after a minute, and not after a second")
	}
}
