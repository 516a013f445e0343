//! What the platform is told of a build, and what the README tells people.

use std::path::Path;

fn file(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(name);
    std::fs::read_to_string(path).expect("the file is there")
}

#[test]
fn the_readme_names_each_system_package_of_a_build() {
    // Given the packages that the platform installs before a build,
    let deploy = file("deploy/system.toml");
    let line = deploy.lines().find(|line| line.starts_with("packages = ")).expect("a list of packages");
    let packages: Vec<&str> = line.split('"').skip(1).step_by(2).collect();
    // then there are some, as rustc links by a compiler driver, and the README names each where it speaks of building.
    assert!(!packages.is_empty());
    let readme = file("README.md");
    let section =
        readme.split("\n## ").find(|section| section.starts_with("Two commands")).expect("the section");
    for package in packages {
        assert!(section.contains(&format!("`{package}`")), "{package}");
    }
}
