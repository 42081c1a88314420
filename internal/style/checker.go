package style

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	"tarragonwalk/core/fault"
)

// Checker collects findings over the source files of a tree.
type Checker struct {
	files    *token.FileSet
	findings []string
	exported map[string][]string // exported types by folder
}

// New returns a checker without findings.
func New() *Checker {
	return &Checker{
		files:    token.NewFileSet(),
		exported: map[string][]string{},
	}
}

// Check reads all hand-written Go files below root and returns its findings, each with its file and line, or its folder.
func (c *Checker) Check(root string) ([]string, error) {
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && strings.HasPrefix(e.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_schema.go") {
			return nil
		}

		return c.checkFile(path)
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "cannot read the source tree")
	}
	for folder, types := range c.exported {
		if len(types) > 1 {
			c.findings = append(c.findings, fmt.Sprintf("%s: more than one exported type: %s", folder, strings.Join(types, ", ")))
		}
	}

	return c.findings, nil
}

func (c *Checker) checkFile(path string) error {
	f, err := parser.ParseFile(c.files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	test := strings.HasSuffix(path, "_test.go")
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			c.checkLiteral(n, test)
		case *ast.GenDecl:
			if !test && n.Tok == token.TYPE {
				c.collectTypes(filepath.Dir(path), n)
			}
		}

		return true
	})

	return nil
}

// checkLiteral checks literals whose keys are identifiers, which are struct fields except in rare map literals. A literal
// with one field may be on one line. Tests are exempt, so that table entries can stay on one line.
func (c *Checker) checkLiteral(l *ast.CompositeLit, test bool) {
	if test || len(l.Elts) < 2 {
		return
	}
	lastLine := c.files.Position(l.Lbrace).Line
	for _, e := range l.Elts {
		field, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return
		}
		if _, ok := field.Key.(*ast.Ident); !ok {
			return
		}
		line := c.files.Position(field.Pos()).Line
		if line == lastLine {
			c.findings = append(c.findings, fmt.Sprintf("%s: struct literal needs one field a line", c.files.Position(l.Pos())))

			return
		}
		lastLine = line
	}
}

func (c *Checker) collectTypes(folder string, d *ast.GenDecl) {
	for _, s := range d.Specs {
		if t, ok := s.(*ast.TypeSpec); ok && t.Name.IsExported() {
			c.exported[folder] = append(c.exported[folder], t.Name.Name)
		}
	}
}
