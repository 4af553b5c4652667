package live

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the node's program in dir and returns its path. The working
// directory must be in the source tree.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "olivebridge")
	return runGoBuild(ctx, path, []string{"build", "-o", path, "olivebridge/cmd/olivebridge"})
}

// runGoBuild runs the go command with args and returns path, or an error of one
// line with the command's output.
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

// BuildFleet builds the node's program and the fleet member's program, into which the node turns when a fleet is
// configured, and returns the path of the former. With mutants, it sets the build tag mutant, so that the programs can
// be told which mutant to run as.
func BuildFleet(ctx context.Context, dir string, mutants bool) (string, error) {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if mutants {
		args = append(args, "-tags", "mutant")
	}
	args = append(args, "olivebridge/cmd/olivebridge", "olivebridge/cmd/olivefleet")
	return runGoBuild(ctx, filepath.Join(dir, "olivebridge"), args)
}

// CheckProgram returns an error if path is not an executable file.
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
