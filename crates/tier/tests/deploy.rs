//! Checks of the deploy files and of what the README says about building.

use std::path::Path;

fn file(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(name);
    std::fs::read_to_string(path).expect("the file is there")
}

/// The packages that the platform installs before the build of a deploy file.
fn packages(deploy_file: &str) -> Vec<String> {
    let text = file(deploy_file);
    let line = text.lines().find(|line| line.starts_with("packages = ")).expect("a list of packages");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn both_builds_list_the_same_system_packages() {
    // Given both programs, which are fetched and linked in the same way, then their builds need the same system packages.
    assert_eq!(packages("deploy/system.toml"), packages("deploy/balancer.toml"));
}

#[test]
fn a_build_lists_what_fetches_and_links() {
    // These packages contain the files outside of the tool chain that a trace of a clean build opens: see "System packages
    // of a build" in DEVELOPERS.md.
    for needed in ["gcc", "libc6-dev", "ca-certificates"] {
        assert!(packages("deploy/system.toml").iter().any(|package| package == needed), "{needed}");
    }
}

#[test]
fn the_readme_names_each_system_package_of_a_build() {
    // Given the packages that the platform installs before a build,
    let packages = packages("deploy/system.toml");
    // then the list is not empty, as rustc links with a compiler driver, and the README names each in the section on building.
    assert!(!packages.is_empty());
    let readme = file("README.md");
    let section =
        readme.split("\n## ").find(|section| section.starts_with("Two commands")).expect("the section");
    for package in packages {
        assert!(section.contains(&format!("`{package}`")), "{package}");
    }
}
