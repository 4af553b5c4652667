package path

import "strings"

// module is the path of what is metered.
const module = "olivebridge/"

// carries tells the packages that do what others tell them to, so that nothing is laid to their charge.
var carries = map[string]bool{
	"bufio": true, "bytes": true, "errors": true, "fmt": true, "io": true, "maps": true, "net/textproto": true,
	"reflect": true, "slices": true, "strconv": true, "strings": true, "sync": true, "syscall": true,
	"sync/atomic": true, "runtime": true, "container/list": true, "hash/fnv": true, "iter": true,
	"sort": true, "net": true, "os": true, "unicode/utf8": true,
}

// blame names the function that something is done for, from a stack with the innermost function first: the
// innermost of the node's own, or else the innermost that is no mere helper; and, behind it, what does it.
func blame(stack []string) string {
	if len(stack) == 0 {
		return ""
	}
	for _, f := range stack {
		if strings.HasPrefix(f, module) || strings.HasPrefix(f, "main.") {
			return by(f, stack[0])
		}
	}
	for _, f := range stack {
		if p := packageOf(f); !carries[p] && !strings.HasPrefix(p, "internal/") {
			return by(f, stack[0])
		}
	}
	return short(stack[0])
}

// without leaves out the innermost functions of a package and those that it is made of.
func without(name string, stack []string) []string {
	for len(stack) > 0 {
		if p := packageOf(stack[0]); p != name && !strings.HasPrefix(p, "internal/") {
			break
		}
		stack = stack[1:]
	}
	return stack
}

func by(f, leaf string) string {
	if f == leaf {
		return short(f)
	}
	return short(f) + " by " + short(leaf)
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

// short is a function's name without what all of the node's have in common.
func short(f string) string {
	f = strings.ReplaceAll(f, module+"internal/", "")
	return strings.ReplaceAll(f, module, "")
}
