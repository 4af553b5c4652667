package live

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the node's program, from the source tree in which this runs, and
// returns its path, in dir.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "olivebridge")
	return runGoBuild(ctx, path, []string{"build", "-o", path, "olivebridge/cmd/olivebridge"})
}

// runGoBuild calls the go command, and returns the path of what it was to build.
func runGoBuild(ctx context.Context, path string, args []string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err == nil {
		return path, nil
	}
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if text := strings.TrimSpace(string(out)); text != "" {
		err = fmt.Errorf("%s", strings.ReplaceAll(text, "\n", "; "))
	}
	return "", fmt.Errorf("building the node: %w (run in the source tree, or name a program)", err)
}

// BuildFleet builds the node's program, and beside it the one that it becomes where it knows of a fleet. With mutants they
// can be told which mutant to be.
func BuildFleet(ctx context.Context, dir string, mutants bool) (string, error) {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if mutants {
		args = append(args, "-tags", "mutant")
	}
	args = append(args, "olivebridge/cmd/olivebridge", "olivebridge/cmd/olivefleet")
	return runGoBuild(ctx, filepath.Join(dir, "olivebridge"), args)
}

// CheckProgram checks that a path is one of a program that can be run.
func CheckProgram(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return err
	case info.IsDir() || info.Mode()&0o111 == 0:
		return fmt.Errorf("%s: not a program", path)
	}
	return nil
}
