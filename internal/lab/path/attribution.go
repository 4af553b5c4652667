package path

import "strings"

// modulePrefix is the prefix of the paths of the measured module's packages.
const modulePrefix = "olivebridge/"

// helperPackages are the packages that only do work for their callers. Costs are attributed to the callers instead.
var helperPackages = map[string]bool{
	"bufio": true, "bytes": true, "errors": true, "fmt": true, "io": true, "maps": true, "net/textproto": true,
	"reflect": true, "slices": true, "strconv": true, "strings": true, "sync": true, "syscall": true,
	"sync/atomic": true, "runtime": true, "container/list": true, "hash/fnv": true, "iter": true,
	"sort": true, "net": true, "os": true, "unicode/utf8": true,
}

// attribute returns the name of the function to which a cost is attributed, given a stack with the innermost function
// first: the innermost function of the module or, if there is none, the innermost one outside helperPackages. If that
// is not the innermost function of the stack, the name of the latter is appended.
func attribute(stack []string) string {
	if len(stack) == 0 {
		return ""
	}
	for _, f := range stack {
		if strings.HasPrefix(f, modulePrefix) || strings.HasPrefix(f, "main.") {
			return formatAttribution(f, stack[0])
		}
	}
	for _, f := range stack {
		if p := packageOf(f); !helperPackages[p] && !strings.HasPrefix(p, "internal/") {
			return formatAttribution(f, stack[0])
		}
	}
	return shortName(stack[0])
}

// trimPackage removes the innermost functions of a stack that belong to the named package or to an internal/ package of
// the standard library.
func trimPackage(name string, stack []string) []string {
	for len(stack) > 0 {
		if p := packageOf(stack[0]); p != name && !strings.HasPrefix(p, "internal/") {
			break
		}
		stack = stack[1:]
	}
	return stack
}

// formatAttribution names the function f and, if it differs, the innermost function that it calls.
func formatAttribution(f, leaf string) string {
	if f == leaf {
		return shortName(f)
	}
	return shortName(f) + " by " + shortName(leaf)
}

// packageOf returns the path of a function's package.
func packageOf(f string) string {
	slash := strings.LastIndexByte(f, '/') + 1
	if bracket := strings.IndexByte(f, '['); bracket >= 0 && bracket < slash { // the slash belongs to a type parameter
		slash = strings.LastIndexByte(f[:bracket], '/') + 1
	}
	if dot := strings.IndexByte(f[slash:], '.'); dot >= 0 {
		return f[:slash+dot]
	}
	return f
}

// shortName returns a function's name without the prefix that all functions of the node share.
func shortName(f string) string {
	f = strings.ReplaceAll(f, modulePrefix+"internal/", "")
	return strings.ReplaceAll(f, modulePrefix, "")
}
