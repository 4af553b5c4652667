package settings

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
)

const sample = `classes.count=2
classes.0.aim=1000000000
classes.0.deadline=2000000000
classes.0.gain=3.0
classes.0.idempotency=side_effect
classes.0.late_worth=0.2
classes.1.aim=1500000000
classes.1.deadline=6000000000
classes.1.gain=5.0
classes.1.idempotency=token
classes.1.key_scope=zone
classes.1.window=6000000000
contract.ask_every=10000000000
contract.cold=24000000000
contract.cold_share=0.12
contract.drain_grace=500000000
contract.fall=2000000000
contract.overload_factor=4.0
discovery=subscribe
limits.cancel=true
limits.max_retry_after=2000000000
limits.probes=true
limits.retry_after=true
limits.second_copies=true
limits.try_limit=5
n_instances=5
some.new.key=1
tenants.count=1
tenants.0.quota_per_s=153.0
tenants.0.share=0.27
weights=live
worth_by=work
`

// TestDecodeText: a malformed value, or a missing one that is not optional, is an error that names its path.
func TestDecodeText(t *testing.T) {
	s, err := DecodeText([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[1].DedupScope != balancer.DedupZone ||
		s.Classes[1].DedupWindow != 6*time.Second || s.Classes[1].ObjectivePerWork != 0 ||
		len(s.Tenants) != 1 || s.Tenants[0].Quota != 153 || !s.LiveWeights || !s.PollDiscovery ||
		s.PollInterval != 10*time.Second || s.Nodes != 5 || s.ServeRemoved || s.OverQuotaWeightShare != 1 ||
		!s.WeightPerWork {
		t.Errorf("got %+v", s)
	}
	for _, invalid := range []string{"classes.1.serial_by_key=maybe", "classes.1.serial_by_key=true"} {
		key, _, _ := strings.Cut(invalid, "=")
		if _, err := DecodeText([]byte(sample + invalid + "\n")); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: got error %v, want one that names the path", invalid, err)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(sample), "\n") {
		key, _, _ := strings.Cut(line, "=")
		if key == "some.new.key" || key == "tenants.count" {
			continue
		}
		malformed := strings.Replace(sample, line, key+"=?", 1)
		if _, err := DecodeText([]byte(malformed)); key != "weights" && (err == nil || !strings.Contains(err.Error(), key)) {
			t.Errorf("%s is malformed: got error %v, want one that names the path", key, err)
		}
		missing := strings.Replace(sample, line+"\n", "", 1)
		_, err := DecodeText([]byte(missing))
		optional := strings.HasSuffix(key, "late_worth") || strings.HasSuffix(key, "quota_per_s")
		if !optional && (err == nil || !strings.Contains(err.Error(), key)) {
			t.Errorf("%s is missing: got error %v, want one that names the path", key, err)
		}
	}
}

// TestValuesOutOfRange: a value that is absent, zero, negative or not a number either has its documented meaning or is
// an error that names its path.
func TestValuesOutOfRange(t *testing.T) {
	for change, want := range map[string]string{ // "": the value is valid
		"limits.try_limit=0": "limits.try_limit", "limits.try_limit=1.5": "limits.try_limit", "limits.try_limit=1e9": "",
		"n_instances=0": "n_instances", "n_instances=0.5": "n_instances", "n_instances=-1": "n_instances",
		"classes.0.deadline=0": "classes.0.deadline", "classes.1.deadline=-1": "classes.1.deadline",
		"classes.0.aim=9e9": "", "classes.0.aim=0": "", "classes.0.window=?": "", "classes.1.window=NaN": "classes.1.window",
		"classes.1.window=-1": "classes.1.window", "classes.1.window=0": "", "classes.1.key_scope=": "classes.1.key_scope",
		"classes.count=3": "classes.2.", "classes.count=0": "classes.count", "classes.count=0.5": "classes.count",
		"tenants.count=0": "", "tenants.count=2": "tenants.1.", "tenants.0.share=NaN": "tenants.0.share",
		"contract.cold=0": "", "contract.cold_share=Inf": "contract.cold_share", "contract.drain_grace=0": "",
		"contract.fall=-0.1": "contract.fall", "contract.ask_every=1e300": "",
		"zone=0": "", "zone=2": "zone", "zone=256": "zone", "zone=0.5": "zone", "zones=a,b,c\nzone=2": "", "zones=": "",
	} {
		key, _, _ := strings.Cut(change, "=")
		lines := slices.DeleteFunc(strings.Split(sample, "\n"), func(l string) bool { return strings.HasPrefix(l, key+"=") })
		_, err := DecodeText([]byte(change + "\n" + strings.Join(lines, "\n")))
		if (err == nil) != (want == "") || err != nil && !strings.HasPrefix(err.Error(), "settings: "+want) {
			t.Errorf("%s: got error %v, want one that begins with the path %q", change, err, want)
		}
	}
	for change, want := range map[string]bool{
		"": false, "tenants.0.quota_per_s=0.0\n": true, "tenants.0.quota_per_s=5\n": true,
	} {
		s, err := DecodeText([]byte(strings.Replace(sample, "tenants.0.quota_per_s=153.0\n", change, 1)))
		if err != nil || (s.Tenants[0].Quota > 0) != want {
			t.Errorf("%q: got a quota: %v, want %v; error %v", change, !want, want, err)
		}
	}
}

// TestJSONEqualsText: the JSON form and the text form of the same settings decode to equal values. This covers nested
// names, lists of objects and lists of scalars.
func TestJSONEqualsText(t *testing.T) {
	text := `classes.count=1
classes.0.aim=150000000
classes.0.deadline=300000000
classes.0.gain=2.5
classes.0.idempotency=pure
contract.ask_every=10000000000
contract.cold=23000000000
contract.cold_share=0.14
contract.drain_grace=2500000000
contract.fall=3000000000
contract.overload_factor=2.5
discovery=subscribe
limits.cancel=true
limits.max_retry_after=1500000000
limits.probes=true
limits.retry_after=true
limits.second_copies=false
limits.try_limit=4
n_instances=2
tenants.count=2
tenants.0.quota_per_s=106.0
tenants.0.share=0.37
tenants.1.share=0.33
weights=nominal
worth_by=request
zone=1
zones=north_west,south
`
	nested := `{"classes":[{"name":"a, b","aim":150000000,"deadline":300000000,"gain":2.5,"idempotency":"pure"}],
	"contract":{"ask_every":10000000000,"cold":23000000000,"cold_share":0.14,"drain_grace":2500000000,"fall":3000000000,
	"overload_factor":2.5},"discovery":"subscribe","limits":{"cancel":true,"max_retry_after":1500000000,"probes":true,
	"retry_after":true,"second_copies":false,"try_limit":4},"n_instances":2,"tenants":[{"quota_per_s":106.0,"share":0.37},
	{"share":0.33}],"weights":"nominal","worth_by":"request","zone":1,"zones":["north west","south"],"new":null}`
	want, err := DecodeText([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeJSON([]byte(nested))
	if err != nil || !reflect.DeepEqual(got, want) || got.Zones != 2 {
		t.Errorf("error %v: got settings %+v, want %+v", err, got, want)
	}
	for _, bad := range []string{"", "[]", "{", `{"classes":[]}`} {
		if _, err := decodeJSON([]byte(bad)); err == nil {
			t.Errorf("decoding %q succeeded, want an error", bad)
		}
	}
}
