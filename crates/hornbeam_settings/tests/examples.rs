//! The example settings of both customers and of a single instance are valid and consistent.

use std::path::{Path, PathBuf};

use hornbeam_model::Config;
use hornbeam_settings::{Role, Settings};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn settings_of(customer: &str) -> Vec<Settings> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(examples().join(customer))
        .unwrap()
        .map(|e| e.unwrap().path())
        .filter(|p| p.extension().is_some_and(|e| e == "yaml") && !p.ends_with("services.yaml"))
        .collect();
    files.sort();
    files.iter().map(|f| Settings::read(f).unwrap()).collect()
}

#[test]
fn instances_load() {
    for customer in ["hanak", "consortium"] {
        let all = settings_of(customer);
        assert_eq!(all.len(), 8, "{customer}");
        let voters = all.iter().filter(|s| s.has_role(Role::Control)).count();
        assert_eq!(voters, 3);
        for s in &all {
            assert_eq!(s.peers.len(), 7);
            assert_eq!(s.voters.len(), 3);
            for peer in &s.peers {
                let other = all.iter().find(|o| o.instance == peer.instance).unwrap();
                assert_eq!((other.http, other.inner), (peer.http, peer.inner));
            }
        }
    }
}

#[test]
fn services_load() {
    for customer in ["hanak", "consortium"] {
        let file = examples().join(customer).join("services.yaml");
        let config: Config =
            serde_saphyr::from_str(&std::fs::read_to_string(file).unwrap()).unwrap();
        config.check().unwrap();
        assert_eq!(config.services.len(), 4);
    }
}

#[test]
fn single_loads() {
    let folder = examples().join("single");
    let settings = Settings::read(&folder.join("node.yaml")).unwrap();
    assert!(settings.peers.is_empty() && settings.has_role(Role::Control));
    let text = std::fs::read_to_string(folder.join("services.yaml")).unwrap();
    let config: Config = serde_saphyr::from_str(&text).unwrap();
    config.check().unwrap();
}
