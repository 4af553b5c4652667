package path

import "strings"

// modulePrefix is the path of what is metered.
const modulePrefix = "olivebridge/"

// helperPackages tells the packages that do what others tell them to, so that nothing is laid to their charge.
var helperPackages = map[string]bool{
	"bufio": true, "bytes": true, "errors": true, "fmt": true, "io": true, "maps": true, "net/textproto": true,
	"reflect": true, "slices": true, "strconv": true, "strings": true, "sync": true, "syscall": true,
	"sync/atomic": true, "runtime": true, "container/list": true, "hash/fnv": true, "iter": true,
	"sort": true, "net": true, "os": true, "unicode/utf8": true,
}

// attribute names the function that something is done for, from a stack with the innermost function first: the
// innermost of the node's own, or else the innermost that is no mere helper; and, behind it, what does it.
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

// trimPackage leaves out the innermost functions of a package and those that it is made of.
func trimPackage(name string, stack []string) []string {
	for len(stack) > 0 {
		if p := packageOf(stack[0]); p != name && !strings.HasPrefix(p, "internal/") {
			break
		}
		stack = stack[1:]
	}
	return stack
}

func formatAttribution(f, leaf string) string {
	if f == leaf {
		return shortName(f)
	}
	return shortName(f) + " by " + shortName(leaf)
}

// packageOf is the path of a function's package.
func packageOf(f string) string {
	slash := strings.LastIndexByte(f, '/') + 1
	if bracket := strings.IndexByte(f, '['); bracket >= 0 && bracket < slash { // of a type parameter
		slash = strings.LastIndexByte(f[:bracket], '/') + 1
	}
	if dot := strings.IndexByte(f[slash:], '.'); dot >= 0 {
		return f[:slash+dot]
	}
	return f
}

// shortName is a function's name without what all of the node's have in common.
func shortName(f string) string {
	f = strings.ReplaceAll(f, modulePrefix+"internal/", "")
	return strings.ReplaceAll(f, modulePrefix, "")
}
