package path

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// profileTag is the build tag of a node that writes a profile of its allocations, profileVariable is the environment
// variable with the name of the profile file, and profileWriter is the function that writes it.
const (
	profileTag      = "meter"
	profileVariable = "OLIVEBRIDGE_ALLOCATIONS"
	profileWriter   = modulePrefix + "internal/program.writeAllocationProfile"
)

// errNoProfile reports that a node does not write a profile of its allocations.
var errNoProfile = errors.New("the node was built without the tag " + profileTag)

// countAllocations measures the allocations per request by function.
func (m *meter) countAllocations(ctx context.Context, l Load, program string) ([]Entry, error) {
	file := filepath.Join(m.dir, "allocations")
	c, err := m.startNode(ctx, program, "GODEBUG=memprofilerate=1", profileVariable+"="+file)
	if err != nil {
		return nil, err
	}
	defer c.kill()
	generator := newLoadGenerator(l, c.addr, &m.callIDs)
	defer generator.close()
	s := m.sizes()
	if err := generator.runServed(ctx, s.warm); err != nil {
		return nil, err
	}
	before, err := readAllocations(c, file)
	if err != nil {
		return nil, err
	}
	if err := generator.runServed(ctx, s.profiled); err != nil {
		return nil, err
	}
	after, err := readAllocations(c, file)
	if err != nil {
		return nil, err
	}
	return perRequestEntries(after, before, s.profiled), nil
}

// readAllocations requests a node's profile and returns the allocations since its start by function.
func readAllocations(c *child, file string) (map[string]count, error) {
	if _, err := c.usage(); err != nil { // the profile file is complete once the counters are logged
		return nil, err
	}
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoProfile
	}
	if err != nil {
		return nil, fmt.Errorf("allocations: %w", err)
	}
	sum := map[string]count{}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) != 3 {
			return nil, fmt.Errorf("allocations: not a line: %.80q", line)
		}
		objects, err1 := strconv.ParseFloat(words[0], 64)
		size, err2 := strconv.ParseFloat(words[1], 64)
		if err := errors.Join(err1, err2); err != nil {
			return nil, fmt.Errorf("allocations: not a line: %.80q", line)
		}
		stack := trimPackage("runtime", strings.Split(strings.Trim(words[2], ";"), ";"))
		if len(stack) == 0 || slices.Contains(stack, profileWriter) {
			continue // allocated by the runtime itself or by the writer of the profile
		}
		f := attribute(stack)
		sum[f] = count{sum[f].n + objects, sum[f].sum + size}
	}
	return sum, nil
}
