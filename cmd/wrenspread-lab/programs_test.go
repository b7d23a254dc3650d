package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestProjectRootIsFoundFromAnyFolderOfTheProject checks that the lab finds the project whose programs it
// builds: by the name of the module in go.mod, which has changed once without the lab.
func TestProjectRootIsFoundFromAnyFolderOfTheProject(t *testing.T) {
	want, err := filepath.Abs(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	if root, err := projectRoot(); err != nil || root != want {
		t.Errorf("projectRoot() = %q, %v, want %q", root, err, want)
	}
}

// TestProjectRootIsNotFoundInAnotherModule checks that the lab builds nothing in another project's folder.
func TestProjectRootIsNotFoundInAnotherModule(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "go.mod"), []byte("module "+modulePath+"-other\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Chdir(folder)
	if root, err := projectRoot(); err == nil {
		t.Errorf("projectRoot() = %q in another module, want an error", root)
	}
}
